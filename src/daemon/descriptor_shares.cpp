#include "daemon/descriptor_shares.h"

namespace aldersill {
namespace {

// For what is neither a client's, a worker's nor an operator's connection: standard streams, epoll, signals,
// listeners, discovery.
constexpr int kReservedForDaemon = 40;

}  // namespace

DescriptorShares DivideDescriptors(const Config& config) {
  const int available = config.sockets - kReservedForDaemon - kMaxAdminConnections;
  DescriptorShares shares;
  shares.faktory_sessions = config.own.faktory.enabled ? available / 4 : 0;
  shares.http_clients = (available - shares.faktory_sessions) / 2;
  shares.http_workers = shares.http_clients;
  return shares;
}

}  // namespace aldersill
