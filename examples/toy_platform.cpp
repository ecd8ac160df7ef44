// toy_platform PORT: runs a discovery service on PORT and two workers that take 300 ms for each job, until
// SIGINT or SIGTERM. With PORT 0 the kernel chooses the port; the first line of output names it.
#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <stdexcept>
#include <string>
#include <thread>

#include "stand_ins.h"

int main(int argc, char** argv) {
  using namespace aldersill::tools;
  // The signals are blocked in all threads, so that only the sigwait() below receives them.
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGINT);
  sigaddset(&stop_signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  try {
    if (argc != 2)
      throw std::invalid_argument("usage: toy_platform PORT");
    const RunJob run = [](const std::string& id, const std::string& job_class) {
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      std::printf("ran %s %s\n", job_class.c_str(), id.c_str());
      std::fflush(stdout);
      return JobOutcome::kDone;
    };
    const HttpServer first(0, JobRunningHandler(run)), second(0, JobRunningHandler(run));
    std::string servers;
    for (const HttpServer* server : {&first, &second}) {
      servers += servers.empty() ? "[" : ",";
      servers += R"({"id":"toy-)" + std::to_string(server->port()) + R"(","addr":"127.0.0.1:)" +
                 std::to_string(server->port()) +
                 R"(","zone":"quilicura","kind":"tipo-grande","state":"SERVING"})";
    }
    StandInDiscovery discovery(static_cast<std::uint16_t>(std::stoi(argv[1])), servers + "]");
    std::printf("discovery on 127.0.0.1:%d\n", discovery.port());
    std::fflush(stdout);
    int signal = 0;
    sigwait(&stop_signals, &signal);
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "toy_platform: %s\n", e.what());
    return 1;
  }
}
