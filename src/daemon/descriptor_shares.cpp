#include "daemon/descriptor_shares.h"

namespace aldersill {
namespace {

// Descriptors other than the connections of clients, workers and operators: standard streams, epoll, signals,
// listeners, discovery.
constexpr int kReservedForDaemon = 40;

}  // namespace

DescriptorShares DivideDescriptors(const Config& config) {
  const int available = config.sockets - kReservedForDaemon - kMaxAdminConnections;
  DescriptorShares shares;
  shares.faktory_sessions = config.operator_settings.faktory.enabled ? available / 4 : 0;
  shares.http_clients = (available - shares.faktory_sessions) / 2;
  shares.http_workers = shares.http_clients;
  return shares;
}

}  // namespace aldersill
