#include "ebonypin/core/entry_members.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

const Time kStart{1h};

EntryInfo Info(const std::string& id, const Incarnation incarnation = 1) {
  return {.m_entry = {id}, .m_incarnation = incarnation};
}

std::vector<EntryInfo> Entries(const int count) {
  std::vector<EntryInfo> entries(static_cast<std::size_t>(count));
  for (std::size_t i = 0; i < entries.size(); ++i) entries[i] = Info("e" + std::to_string(i));
  return entries;
}

void Own(JobTable& table, const std::string& owner, const Incarnation incarnation) {
  for (ShardState& shard : table.m_shards) {
    shard.m_epoch = 1;
    shard.m_owner = {owner};
    shard.m_owner_incarnation = incarnation;
  }
}

class EntryMembersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryMembersTest);
  CPPUNIT_TEST(ShardsOfASilentEntryAreClaimedAfterFourSeconds);
  CPPUNIT_TEST(ReplayedRecordsReviveNoFailedEntry);
  CPPUNIT_TEST(EachShardHasOnePreferredOwner);
  CPPUNIT_TEST(LeavingEntryReleasesItsShards);
  CPPUNIT_TEST(AgentsHaveAtMostThreeHomeEntries);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against shards without an owner, and against claims while the owner is heard.
  void ShardsOfASilentEntryAreClaimedAfterFourSeconds() {
    EntryMembers members = MakeEntryMembers(Info("a"), kStart);
    JobTable table;
    Own(table, "b", 1);
    // A starting entry waits 4 s before it treats an owner that it has not heard as failed.
    CPPUNIT_ASSERT(PlanShards(members, table, kStart + 3999ms).m_claim.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{kShardCount},
                         PlanShards(members, table, kStart + 4s).m_claim.size());
    OnEntryHeard(members, Info("b"), kStart + 10s);
    CPPUNIT_ASSERT(PlanShards(members, table, kStart + 13999ms).m_claim.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{kShardCount},
                         PlanShards(members, table, kStart + 14s).m_claim.size());
    // A new incarnation of the owner does not own the shards of the old one.
    OnEntryHeard(members, Info("b", 2), kStart + 20s);
    CPPUNIT_ASSERT(!PlanShards(members, table, kStart + 20s).m_claim.empty());
    OnEntryHeard(members, Info("b", 1), kStart + 30s);
    CPPUNIT_ASSERT(!IsLive(members, {"b"}, kStart + 30s));
  }

  /// Guards against assigning shards to entries that are mentioned only by old records of the log.
  void ReplayedRecordsReviveNoFailedEntry() {
    EntryMembers members = MakeEntryMembers(Info("a"), kStart);
    OnEntryMentioned(members, Info("b"), true, kStart);
    CPPUNIT_ASSERT(!IsLive(members, {"b"}, kStart));
    OnEntryMentioned(members, Info("b"), false, kStart + 1s);
    CPPUNIT_ASSERT(!IsLive(members, {"b"}, kStart + 1s));
    OnEntryMentioned(members, Info("b", 2), false, kStart + 2s);
    CPPUNIT_ASSERT(IsLive(members, {"b"}, kStart + 2s));
  }

  /// Guards against two entries with the same view of their peers that claim a shard in turns.
  void EachShardHasOnePreferredOwner() {
    const bool holds = rc::check("one preferred owner", [] {
      const std::vector<EntryInfo> entries = Entries(*rc::gen::inRange(1, 8));
      JobTable table;
      std::multiset<ShardIndex> claims;
      for (const EntryInfo& self : entries) {
        EntryMembers members = MakeEntryMembers(self, kStart);
        for (const EntryInfo& peer : entries) OnEntryHeard(members, peer, kStart);
        for (const ShardIndex shard : PlanShards(members, table, kStart).m_claim)
          claims.insert(shard);
      }
      RC_ASSERT(claims.size() == kShardCount);
      RC_ASSERT(std::set<ShardIndex>(claims.begin(), claims.end()).size() == kShardCount);
    });
    CPPUNIT_ASSERT(holds);
  }

  /// Guards against a planned stop after which shards have no owner until the timeout of 4 s.
  void LeavingEntryReleasesItsShards() {
    EntryMembers members = MakeEntryMembers(Info("a"), kStart);
    JobTable table;
    Own(table, "a", 1);
    members.m_self.m_leaving = true;
    CPPUNIT_ASSERT(PlanShards(members, table, kStart).m_release.empty());
    OnEntryHeard(members, Info("b"), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kShardCount},
                         PlanShards(members, table, kStart).m_release.size());
    CPPUNIT_ASSERT(PlanShards(members, table, kStart).m_claim.empty());
  }

  /// Guards against a full mesh between agents and entries.
  void AgentsHaveAtMostThreeHomeEntries() {
    std::vector<EntryInfo> entries = Entries(6);
    const auto homes = HomeEntries({"agent"}, entries);
    CPPUNIT_ASSERT_EQUAL(kHomeEntries, homes.size());
    std::reverse(entries.begin(), entries.end());
    CPPUNIT_ASSERT(homes == HomeEntries({"agent"}, entries));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryMembersTest);

}  // namespace
}  // namespace ebonypin::core
