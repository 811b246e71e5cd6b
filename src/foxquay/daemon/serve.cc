#include "foxquay/daemon/serve.h"

#include <pthread.h>
#include <signal.h>  // NOLINT: sigwait is not in <csignal>
#include <unistd.h>

#include <cstdlib>
#include <string>
#include <thread>

#include "foxquay/daemon/host.h"
#include "foxquay/http/server.h"

namespace foxquay::daemon {
namespace internal {

sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // SIGUSR1 wakes the main thread when a drain has ended.
  sigaddset(&signals, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);  // NOLINT: the result is of no use
  return signals;
}

int AwaitSignal(const sigset_t& signals) {
  int received = 0;
  while (sigwait(&signals, &received) != 0) {
  }
  return received;
}

[[noreturn]] void CutOff(const Host& host) {
  for (const std::string& name : host.OpenRequests()) {
    host.Log("event=cut-off request=" + name);
  }
  host.Log("event=stopped reason=second-signal");
  _exit(EXIT_FAILURE);
}

void DrainOnSignal(Host& host, const sigset_t& signals) {
  while (AwaitSignal(signals) == SIGUSR1) {
  }
  std::thread drain([&host] {
    host.Drain();
    kill(getpid(), SIGUSR1);
  });
  if (AwaitSignal(signals) != SIGUSR1) CutOff(host);
  drain.join();
}

}  // namespace internal

int Serve(const schema::Settings& settings) {
  const sigset_t signals = internal::BlockSignals();
  const http::Library library;
  const ControlHooks hooks;
  Host host(settings, hooks);
  if (host.Start()) return EXIT_FAILURE;
  internal::DrainOnSignal(host, signals);
  // Legs canceled at a silent upstream may still block their threads in the
  // HTTP client, which offers no way to interrupt them; do not wait for those.
  _exit(EXIT_SUCCESS);
}

}  // namespace foxquay::daemon
