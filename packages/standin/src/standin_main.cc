/// Runs one stand-in for the platform until SIGTERM or SIGINT; for tests and the demo only.
#include <gflags/gflags.h>
#include <signal.h>

#include <iostream>

#include "ebonypin/standin/standin.h"

DEFINE_string(kind, "worker", "which stand-in to run");
DEFINE_string(listen, "127.0.0.1:0", "ip:port to serve HTTP on");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("runs a stand-in; usage: ebonypin_standin --kind=KIND --listen=IP:PORT");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto standin = ebonypin::standin::CreateStandin(FLAGS_kind, FLAGS_listen);
  if (standin == nullptr) {
    std::cerr << "error: no stand-in '" << FLAGS_kind << "'; set --kind to one of:";
    for (const auto& kind : ebonypin::standin::StandinKinds()) std::cerr << ' ' << kind;
    std::cerr << '\n';
    return 2;
  }
  try {
    standin->Start();
  } catch (const std::exception& exception) {
    std::cerr << "error: cannot serve at " << FLAGS_listen << ": " << exception.what()
              << "; choose a free address\n";
    return 3;
  }
  std::cout << "stand-in " << FLAGS_kind << " listens on " << FLAGS_listen << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}
