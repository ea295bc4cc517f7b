/// Finds the process at the other end of a loopback connection.
#pragma once

#include <netinet/in.h>
#include <sys/types.h>

#include <optional>
#include <string>

namespace ebonypin::daemon {

/// Returns the inode of the socket with these addresses, or nothing when there is none.
[[nodiscard]] std::optional<std::string> InodeOf(const sockaddr_in& local,
                                                 const sockaddr_in& remote);

/// Returns whether one of the descriptors of `process` is the socket with `inode`.
[[nodiscard]] bool OwnsSocket(pid_t process, const std::string& inode);

}  // namespace ebonypin::daemon
