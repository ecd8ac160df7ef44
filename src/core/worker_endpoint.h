// A worker as the endpoint list has it.
#ifndef ALDERSILL_SRC_CORE_WORKER_ENDPOINT_H_
#define ALDERSILL_SRC_CORE_WORKER_ENDPOINT_H_

#include <string>

#include "core/micros.h"

namespace aldersill {

struct WorkerEndpoint {
  using State = dispatch::WorkerEntry::State;
  enum class Source { kDiscovery, kSession };  // listed by discovery, or by a worker's own session here
  std::string name;
  std::string address;
  std::string zone;
  std::string kind;
  int cell = 0;
  State state = State::kReady;
  double weight = 1.0;
  Micros started = 0;  // start of its process; 0 for long ago
  Source source = Source::kDiscovery;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_WORKER_ENDPOINT_H_
