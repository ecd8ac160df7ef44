// Workers that do nothing but answer probes, and remember when each came. One thread for all of them.
#ifndef ALDERSILL_TOOLS_PROBED_WORKERS_H_
#define ALDERSILL_TOOLS_PROBED_WORKERS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "player.h"

namespace aldersill::tools {

class ProbedWorkers {
 public:
  using Clock = std::chrono::steady_clock;
  explicit ProbedWorkers(int workers);
  ~ProbedWorkers();

  std::uint16_t port(int worker) const { return ports_[static_cast<std::size_t>(worker)]; }
  int size() const { return static_cast<int>(ports_.size()); }
  std::vector<Clock::time_point> ProbeTimes(int worker) const;
  // How many came since.
  std::size_t CountProbesSince(int worker, Clock::time_point since) const;

 private:
  void Serve();
  std::vector<Socket> listeners_;
  std::vector<std::uint16_t> ports_;
  mutable std::mutex mutex_;
  std::vector<std::vector<Clock::time_point>> probes_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_PROBED_WORKERS_H_
