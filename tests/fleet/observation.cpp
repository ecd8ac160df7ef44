#include "fleet/observation.h"

#include <array>
#include <cstddef>

namespace aldersill::fleet {

const char* Name(Observation::Kind kind) {
  // In the order of Observation::Kind.
  constexpr std::array<const char*, 20> names = {"request sent",
                                                 "closed unanswered",
                                                 "answered",
                                                 "connection lost",
                                                 "client left",
                                                 "attempt started",
                                                 "attempt ended",
                                                 "job started",
                                                 "job result",
                                                 "dispatcher killed",
                                                 "dispatcher started",
                                                 "dispatcher resumed",
                                                 "dispatcher terminated",
                                                 "dispatcher reloaded",
                                                 "worker changed",
                                                 "worker announced",
                                                 "discovery reachable",
                                                 "restart finished",
                                                 "lease reported",
                                                 "run ended"};
  return names.at(static_cast<std::size_t>(kind));
}

}  // namespace aldersill::fleet
