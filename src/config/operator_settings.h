// The operator's settings with their defaults. operator_schema.h defines the fields of the file and their
// limits.
#ifndef ALDERSILL_SRC_CONFIG_OPERATOR_SETTINGS_H_
#define ALDERSILL_SRC_CONFIG_OPERATOR_SETTINGS_H_

#include <string>
#include <vector>

#include "core/types.h"
#include "duties/probe_sharing.h"
#include "log/log.h"
#include "membership/settings.h"
#include "net/endpoint.h"

namespace aldersill {

struct FaktorySettings {
  bool enabled = false;
  Endpoint listen{"127.0.0.1", 7419};
  Micros fetch_wait = 2 * kSecond;                 // time until a FETCH without a job gets null
  Micros fetch_timeout = 1 * kSecond;              // time that an attempt waits for a FETCH
  Micros worker_heartbeat_timeout = 60 * kSecond;  // A worker that sends nothing for this long is lost.
  Micros worker_reconnect_timeout = kSecond;       // A worker without a connection for this long is lost.
  bool operator==(const FaktorySettings&) const = default;
};

struct SnmpSettings {
  bool enabled = false;
  Endpoint listen{"127.0.0.1", 1161};
  bool operator==(const SnmpSettings&) const = default;
};

struct MembershipSettings {
  bool enabled = false;
  Endpoint listen{"127.0.0.1", 7946};  // UDP address
  std::string advertise;               // address that other members use; if empty, `listen`
  std::string key_file;                // path; membership/sealer.h describes the format
  membership::Settings core;
  bool operator==(const MembershipSettings&) const = default;
};

struct DutiesSettings {
  bool probing = false;  // if true, one member probes each worker and reports to the others
  duties::ProbeSettings probes;
  std::vector<std::string> exclusive;  // duties that at most one member holds at a time
  std::vector<std::string> voters;     // names of the members that grant the leases
  Micros lease = 10 * kSecond;         // duration of a lease
  double max_clock_drift = 0.01;       // maximum drift of a clock, as a share of its rate
  bool operator==(const DutiesSettings&) const = default;
};

struct ControlSettings {
  std::string socket;  // path of a Unix socket; empty if there is none
};

struct OperatorSettings {
  FaktorySettings faktory;
  SnmpSettings snmp;
  LogSettings logging;
  ControlSettings control;
  MembershipSettings membership;
  DutiesSettings duties;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_OPERATOR_SETTINGS_H_
