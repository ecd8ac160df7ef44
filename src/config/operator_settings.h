// What the operator's own file sets, as plain values with their defaults. One table in operator_file.cpp
// names every field once, for reading, for printing and for the check of unknown keys.
#ifndef ALDERSILL_SRC_CONFIG_OPERATOR_SETTINGS_H_
#define ALDERSILL_SRC_CONFIG_OPERATOR_SETTINGS_H_

#include "core/types.h"
#include "log/log.h"
#include "net/endpoint.h"

namespace aldersill {

struct FaktorySettings {
  bool enabled = false;
  Endpoint listen{"127.0.0.1", 7419};
  Micros fetch_wait = 2 * kSecond;       // how long a FETCH may wait before it gets null
  Micros fetch_patience = 1 * kSecond;   // how long an execution waits for a FETCH
  Micros worker_silence = 60 * kSecond;  // a worker not heard of for this long is gone
  Micros worker_return = kSecond;        // and so is one without a connection for this long
  bool operator==(const FaktorySettings&) const = default;
};

struct SnmpSettings {
  bool enabled = false;
  Endpoint listen{"127.0.0.1", 1161};
  bool operator==(const SnmpSettings&) const = default;
};

struct OperatorSettings {
  FaktorySettings faktory;
  SnmpSettings snmp;
  LogSettings logging;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CONFIG_OPERATOR_SETTINGS_H_
