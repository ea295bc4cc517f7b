/// Network between the processes of a test, whose traffic can be cut between two of them, one way
/// or both.
///
/// Each callee has one address, at which a TCP proxy listens. The proxy finds out which process
/// called by the owner of the connection's other end. A cut delays what is on its way over an open
/// connection until the cut is healed, as TCP does after a loss of packets. A connection that is
/// opened while either direction is cut never gets an answer.
#pragma once

#include <sys/types.h>

#include <memory>
#include <string>

namespace ebonypin::daemon {

class CutNetwork {
 public:
  CutNetwork();
  ~CutNetwork();
  CutNetwork(const CutNetwork&) = delete;
  CutNetwork& operator=(const CutNetwork&) = delete;

  /// Returns an address that forwards to the callee `name`, which listens at `address`.
  [[nodiscard]] std::string Open(const std::string& name, const std::string& address);

  /// Makes the connections of a process known as those of the caller `name`. Connections of
  /// unknown processes are closed.
  void SetProcess(const std::string& name, pid_t process);

  /// Stops the traffic from `from` to `to`.
  void Cut(const std::string& from, const std::string& to);
  /// Ends all cuts.
  void Heal();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace ebonypin::daemon
