// How the file descriptors that the dispatcher may have are divided among its kinds of connections.
#ifndef ALDERSILL_SRC_DAEMON_DESCRIPTOR_SHARES_H_
#define ALDERSILL_SRC_DAEMON_DESCRIPTOR_SHARES_H_

#include "config/config.h"

namespace aldersill {

// Connections at the operators' address at one time.
constexpr int kMaxAdminConnections = 16;

// Each the greatest number of connections of its kind, over all processes of the dispatcher.
struct DescriptorShares {
  int faktory_sessions = 0;  // 0 where Faktory is off
  int http_clients = 0;
  int http_workers = 0;
};

DescriptorShares DivideDescriptors(const Config& config);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_DESCRIPTOR_SHARES_H_
