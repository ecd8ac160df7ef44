// The cluster's state for operators: the replies to `aldersill members` and `duties`, and the MIB objects.
#ifndef ALDERSILL_SRC_CLUSTER_OBJECTS_H_
#define ALDERSILL_SRC_CLUSTER_OBJECTS_H_

#include <nlohmann/json_fwd.hpp>

#include "cluster/cluster.h"
#include "membership/transport.h"
#include "snmp/objects.h"

namespace aldersill::cluster {

// The names that operators see.
const char* Name(membership::State state);
const char* Name(membership::MembershipChange::Kind kind);

// `core` is null if membership is disabled; the reply is then {"enabled": false}.
nlohmann::json MembersAsJson(const Cluster* core);
nlohmann::json DutiesAsJson(const Cluster* core, Micros now);
// Adds the cluster's MIB objects: the scalars in the order of the MIB, and the table of dropped datagrams.
void AddObjects(const Cluster& core, const membership::TransportCounters& transport,
                const membership::Sealer& sealer, Micros now, snmp::ObjectMap* objects);

}  // namespace aldersill::cluster

#endif  // ALDERSILL_SRC_CLUSTER_OBJECTS_H_
