#include "daemon/parts.h"

namespace aldersill {
namespace {

// Descriptors for what is not a connection: standard streams, epoll, signals, listeners, discovery.
constexpr int kReserved = 40 + kAdminConnections;

}  // namespace

Shares::Shares(const Config& config) {
  const int all = config.sockets - kReserved;
  sessions = config.own.faktory.enabled ? all / 4 : 0;
  clients = workers = (all - sessions) / 2;
}

std::vector<std::unique_ptr<Part>> MakeParts(const Surroundings& surroundings) {
  std::vector<std::unique_ptr<Part>> parts;
  parts.push_back(MakeUpgradePart(surroundings));
  parts.push_back(MakePlatformPart(surroundings));
  parts.push_back(MakeFaktoryPart(surroundings));
  parts.push_back(MakeSnmpPart(surroundings));
  parts.push_back(MakeClusterPart(surroundings));
  parts.push_back(MakeAdminPart(surroundings));
  parts.push_back(MakeControlPart(surroundings));
  return parts;
}

}  // namespace aldersill
