// Divides the file descriptors that the dispatcher may open among its kinds of connections.
#ifndef ALDERSILL_SRC_DAEMON_DESCRIPTOR_SHARES_H_
#define ALDERSILL_SRC_DAEMON_DESCRIPTOR_SHARES_H_

#include "config/config.h"

namespace aldersill {

// The maximum number of concurrent connections at the management address.
constexpr int kMaxAdminConnections = 16;

// The maximum number of connections of each kind, over all processes of the dispatcher.
struct DescriptorShares {
  int faktory_sessions = 0;  // 0 if Faktory is off
  int http_clients = 0;
  int http_workers = 0;
};

// Reserves descriptors for the daemon itself and for operators, gives a quarter of the rest to Faktory if it
// is enabled, and divides the remainder equally between HTTP clients and workers.
DescriptorShares DivideDescriptors(const Config& config);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_DESCRIPTOR_SHARES_H_
