// An HTTP worker that completes its jobs only when a test says so.
#ifndef ALDERSILL_TESTS_DAEMON_BLOCKED_WORKER_H_
#define ALDERSILL_TESTS_DAEMON_BLOCKED_WORKER_H_

#include <doctest/doctest.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

#include "stand_ins.h"

namespace aldersill::tests {

// A worker whose jobs do not complete until CompleteJobs is called.
class BlockedWorker {
 public:
  BlockedWorker()
      : server_(0, tools::JobRunningHandler(
                       [this](const std::string& id, const std::string&) { return Run(id); })) {}
  ~BlockedWorker() { CompleteJobs(); }

  std::uint16_t port() const { return server_.port(); }
  // Completes all running jobs, and later jobs as they arrive.
  void CompleteJobs() {
    const std::lock_guard lock(mutex_);
    blocked_ = false;
    changed_.notify_all();
  }
  // Waits until the worker has started the job.
  void AwaitRun(const std::string& id) {
    std::unique_lock lock(mutex_);
    REQUIRE(changed_.wait_for(lock, kRunTimeout, [&] { return started_.contains(id); }));
  }

 private:
  static constexpr std::chrono::seconds kRunTimeout{15};

  tools::JobOutcome Run(const std::string& id) {
    std::unique_lock lock(mutex_);
    started_.insert(id);
    changed_.notify_all();
    changed_.wait(lock, [this] { return !blocked_; });
    return tools::JobOutcome::kDone;
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  bool blocked_ = true;
  std::set<std::string> started_;
  tools::HttpServer server_;
};

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_DAEMON_BLOCKED_WORKER_H_
