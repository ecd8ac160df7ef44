// Workers that only answer health checks and record the arrival times. One thread serves all of them.
#ifndef ALDERSILL_TOOLS_PROBED_WORKERS_H_
#define ALDERSILL_TOOLS_PROBED_WORKERS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "loopback.h"

namespace aldersill::tools {

class ProbedWorkers {
 public:
  using Clock = std::chrono::steady_clock;
  // Throws std::runtime_error if a worker cannot listen.
  explicit ProbedWorkers(int workers);
  ~ProbedWorkers();

  std::uint16_t port(int worker) const { return ports_[static_cast<std::size_t>(worker)]; }
  int size() const { return static_cast<int>(ports_.size()); }
  // Arrival times of the health checks, in ascending order.
  std::vector<Clock::time_point> ProbeTimes(int worker) const;
  // Number of health checks that arrived at `since` or later.
  std::size_t CountProbesSince(int worker, Clock::time_point since) const;

 private:
  struct Connection {
    Socket socket;
    std::size_t worker = 0;
    std::string head;  // request bytes received so far
  };
  void Serve();
  void Accept(int listener, std::size_t worker);
  // Returns false once the connection is to be closed.
  bool Read(Connection* connection);

  std::vector<Socket> listeners_;
  std::vector<std::uint16_t> ports_;
  std::map<int, Connection> connections_;  // by file descriptor; used only by thread_
  mutable std::mutex mutex_;
  std::vector<std::vector<Clock::time_point>> probe_times_;  // by worker; guarded by mutex_
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_PROBED_WORKERS_H_
