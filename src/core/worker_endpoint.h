// A worker as described by the endpoint list.
#ifndef ALDERSILL_SRC_CORE_WORKER_ENDPOINT_H_
#define ALDERSILL_SRC_CORE_WORKER_ENDPOINT_H_

#include <string>

#include "core/micros.h"

namespace aldersill {

struct WorkerEndpoint {
  using State = dispatch::WorkerEntry::State;
  // kDiscovery: discovery lists the worker; kSession: the worker's own session with this process does.
  enum class Source { kDiscovery, kSession };
  std::string name;
  std::string address;
  std::string zone;
  std::string kind;
  int cell = 0;
  State state = State::kReady;
  double weight = 1.0;
  Micros started = 0;  // Unix time at which the worker's process started; 0: long ago
  Source source = Source::kDiscovery;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_WORKER_ENDPOINT_H_
