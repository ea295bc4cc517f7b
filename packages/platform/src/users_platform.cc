#include "ebonypin/platform/users_platform.h"

#include <optional>
#include <utility>

namespace ebonypin::platform {
namespace {

std::optional<PlatformPlugin>& Registered() {
  static std::optional<PlatformPlugin> platform;
  return platform;
}

}  // namespace

bool RegisterPlatformPlugin(PlatformPlugin platform) {
  Registered() = std::move(platform);
  return true;
}

const PlatformPlugin* GetPlatformPlugin() noexcept {
  const auto& platform = Registered();
  return platform ? &*platform : nullptr;
}

}  // namespace ebonypin::platform
