/// Members after a change of coordinator: announcing the new one, and finding out which of those
/// that stay silent have ended.
#include <set>
#include <utility>

#include "boot_clock.h"
#include "coordinator_service.h"
#include "ebonypin/daemon/events.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

constexpr auto kAnnounceDeadline = 600ms;
/// Interval between two reads of the platform's list of machines while members are silent. Members
/// that live report within half a second, so usually none is read.
constexpr auto kMachineListInterval = 600ms;

}  // namespace

void CoordinatorService::Announce() {
  for (const auto& [id, agent] : m_state.m_agents) AnnounceTo(agent.m_rpc_address);
  m_store.Members(kCoordinatorGroup, [this, events = m_events](
                                         core::Captured<std::vector<std::string>> members) {
    events->Post([this, members = std::move(members)] {
      if (!members.Ok()) {
        LogEvent(kStoreCallFailed, {{"call", "members"}, {"reason", members.m_error->m_message}});
        return;
      }
      std::set<std::string> addresses;
      for (const auto& member : *members.m_value) {
        if (const auto other = core::fleet::ParseMember(member)) {
          addresses.insert(other->m_rpc_address);
        }
      }
      addresses.erase(m_options.m_rpc_address);
      for (const auto& address : addresses) AnnounceTo(address);
    });
  });
}

void CoordinatorService::AnnounceTo(const std::string& rpc_address) {
  if (!IsActive()) return;
  m_rpc.Call(rpc_address,
             core::fleet::AgentOrders{.m_epoch = m_leadership.m_epoch,
                                      .m_coordinator = m_options.m_rpc_address},
             kAnnounceDeadline, [this](const wire::CallResult& result) {
               const auto* const reply = result.Get<core::fleet::AgentOrdersReply>();
               // Tick repeats the announcement to members that stay silent.
               if (reply == nullptr) return;
               m_events->Post([this, epoch = reply->m_epoch] { ObserveCoordinator(epoch, {}); });
             });
}

void CoordinatorService::CheckSilentMembers() {
  if (m_machines == nullptr) return;
  m_events->At(Now() + kMachineListInterval, [this, epoch = m_leadership.m_epoch] {
    if (!IsActive() || epoch != m_leadership.m_epoch || m_state.m_silent_members.empty()) return;
    ReadMachines({}, std::make_shared<LiveWorkers>(LiveWorkers{.m_asked = BootNow()}));
    CheckSilentMembers();
  });
}

void CoordinatorService::ReadMachines(const std::string& page,
                                      const std::shared_ptr<LiveWorkers>& found) {
  m_machines->Read(page, [this, events = m_events, found, epoch = m_leadership.m_epoch](
                             core::Captured<platform::MachinePage> read) {
    events->Post([this, found, epoch, read = std::move(read)] {
      if (!IsActive() || epoch != m_leadership.m_epoch) return;
      if (!read.Ok()) {
        LogEvent(kMachinesNotRead, {{"reason", read.m_error->m_message}});
        return;
      }
      if (read.m_value->m_unreadable > 0) {
        LogEvent(kMachinesNotRead, {{"entries", read.m_value->m_unreadable}});
      }
      found->m_workers.insert(read.m_value->m_workers.begin(), read.m_value->m_workers.end());
      if (!read.m_value->m_next.empty()) return ReadMachines(read.m_value->m_next, found);
      OnLiveWorkers(m_state, found->m_asked, found->m_workers);
      ScheduleCycle();
    });
  });
}

}  // namespace ebonypin::daemon
