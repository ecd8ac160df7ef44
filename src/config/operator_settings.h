// The operator's settings with their defaults. operator_schema.h names every field and its limits.
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
  Micros fetch_wait = 2 * kSecond;       // how long a FETCH may wait before it gets null
  Micros fetch_timeout = 1 * kSecond;    // how long an attempt waits for a FETCH
  Micros worker_silence = 60 * kSecond;  // a worker that sends nothing for this long is lost
  Micros worker_return = kSecond;        // and so is one without a connection for this long
  bool operator==(const FaktorySettings&) const = default;
};

struct SnmpSettings {
  bool enabled = false;
  Endpoint listen{"127.0.0.1", 1161};
  bool operator==(const SnmpSettings&) const = default;
};

struct MembershipSettings {
  bool enabled = false;
  Endpoint listen{"127.0.0.1", 7946};  // UDP
  std::string advertise;               // the address that other members use; empty: `listen`
  std::string key_file;                // in the format of membership/sealer.h
  membership::Settings core;
  bool operator==(const MembershipSettings&) const = default;
};

struct DutiesSettings {
  bool probing = false;  // each worker is probed by one member, which reports to the others
  duties::ProbeSettings probes;
  std::vector<std::string> exclusive;  // duties that at most one member holds at a time
  std::vector<std::string> voters;     // names of the members that grant the leases
  Micros lease = 10 * kSecond;
  double most_drift = 0.01;  // maximum drift of a clock, as a share of its rate
  bool operator==(const DutiesSettings&) const = default;
};

struct ControlSettings {
  std::string socket;  // path of a Unix socket; empty: none
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
