// aldersill: the dispatcher daemon. Reads its configuration, wires the parts and serves until told to stop.
#include <signal.h>

#include <cstdio>
#include <exception>

#include "config/config.h"
#include "daemon/daemon.h"

int main() {
  signal(SIGPIPE, SIG_IGN);  // a peer that went is told by the write's error
  // Told to read its configuration anew while it first does so: that waits until somebody listens.
  sigset_t reload;
  sigemptyset(&reload);
  sigaddset(&reload, SIGHUP);
  sigprocmask(SIG_BLOCK, &reload, nullptr);
  try {
    aldersill::Daemon daemon(aldersill::ReadConfig());
    sigprocmask(SIG_UNBLOCK, &reload, nullptr);
    daemon.Run();
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "aldersill: %s\n", e.what());
    return 1;
  }
}
