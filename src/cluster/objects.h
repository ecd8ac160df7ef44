// The cluster's state for operators: the answers of `aldersill members` and `duties`, and the MIB objects.
#ifndef ALDERSILL_SRC_CLUSTER_OBJECTS_H_
#define ALDERSILL_SRC_CLUSTER_OBJECTS_H_

#include <nlohmann/json_fwd.hpp>

#include "cluster/cluster.h"
#include "membership/transport.h"
#include "snmp/objects.h"

namespace aldersill::cluster {

const char* Name(membership::State state);
const char* Name(membership::MembershipChange::Kind kind);

// `core`: null if membership is off; the answer is then {"enabled": false}.
nlohmann::json MembersAsJson(const Cluster* core);
nlohmann::json DutiesAsJson(const Cluster* core, Micros now);
void AddObjects(const Cluster& core, const membership::TransportCounters& wire,
                const membership::Sealer& sealer, Micros now, snmp::ObjectMap* objects);

}  // namespace aldersill::cluster

#endif  // ALDERSILL_SRC_CLUSTER_OBJECTS_H_
