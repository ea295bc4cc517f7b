#include "entry_process.h"

#include "site.h"

namespace ebonypin::daemon {
namespace {

std::string Settings(const std::string& http_address, const std::string& store_address) {
  return "[process]\nrole = fleet_entry\nid = entry-0\ndomain = domain-a\nrpc = " + FreeAddress() +
         "\nhttp = " + http_address + "\nreadiness = " + FreeAddress() +
         "\nmetrics = " + FreeAddress() + "\n[store]\nurl = http://" + store_address + "\n";
}

}  // namespace

EntryProcess::EntryProcess(const std::string& store_address, const std::chrono::seconds drain_limit)
    : m_http_address(FreeAddress()),
      m_process(Settings(m_http_address, store_address),
                {"--drain_seconds=" + std::to_string(drain_limit.count())}) {}

}  // namespace ebonypin::daemon
