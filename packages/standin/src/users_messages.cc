#include "ebonypin/standin/users_messages.h"

#include <fmt/format.h>

namespace ebonypin::standin {

std::string UsersConfig(const int version, const std::string& path_prefix,
                        const std::string& advice) {
  return fmt::format(
      R"({{"Version":{},"Routes":[{{"Name":"renders","Host":"127.0.0.1","PathPrefix":"{}",)"
      R"("TimeoutMs":3000,"SloMs":300,"Service":"desk","Attempts":3,"Stretch":2.0,)"
      R"("Advice":{}}}],)"
      R"("Services":[],"Limits":{{"MaxBodyBytes":10000}}}})",
      version, path_prefix, advice);
}

std::string UsersJob(const std::string& payload, const int count, const bool lasts) {
  return fmt::format(R"({{"Spec":"{}","Steps":[{{"Count":{},"Cpu":500,"MemMb":10,)"
                     R"("EstMs":100,"LongRunning":{}}}]}})",
                     payload, count, lasts);
}

}  // namespace ebonypin::standin
