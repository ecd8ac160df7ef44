// The links of a run: one relay between each dispatcher and each worker.
#ifndef ALDERSILL_TESTS_FLEET_WORKER_LINKS_H_
#define ALDERSILL_TESTS_FLEET_WORKER_LINKS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet/relay.h"
#include "fleet/run_context.h"
#include "fleet/worker_stand_ins.h"

namespace aldersill::fleet {

class WorkerLinks {
 public:
  WorkerLinks(const RunContext& context, const WorkerStandIns& workers);

  // The port at which `dispatcher` reaches `worker`.
  std::uint16_t port(int dispatcher, int worker) const { return links_[dispatcher][worker]->port(); }
  // Calls `action` for the dispatcher's link to `worker`, or for all its links if `worker` is kAllWorkers.
  void ForEach(int dispatcher, int worker, const std::function<void(Relay*)>& action);
  // Records the end of attempts whose connections the dispatchers have already closed.
  void DetectClosed();
  bool HasOpenAttempt() const;

 private:
  std::unique_ptr<Relay> MakeLink(int dispatcher, int worker, std::uint16_t port);
  void RecordAttempt(int dispatcher, int worker, const Relay::Attempt& attempt);

  RunContext context_;
  std::uint64_t attempts_ = 0;  // number of attempts on all links so far
  std::vector<std::vector<std::unique_ptr<Relay>>> links_;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_WORKER_LINKS_H_
