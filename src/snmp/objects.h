// The objects of ALDERSILL-MIB: the core's counters by object identifier, independent of the SNMP library.
#ifndef ALDERSILL_SRC_SNMP_OBJECTS_H_
#define ALDERSILL_SRC_SNMP_OBJECTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/counters.h"

namespace aldersill::snmp {

// Below the root of the MIB.
using ObjectId = std::vector<std::uint64_t>;

// Gauge32.
struct Gauge {
  std::uint32_t value;
};

// Counter64.
struct Counter {
  std::uint64_t value;
};

using Value = std::variant<Gauge, Counter, std::string>;

// Every object instance, in the order in which GETNEXT walks them.
using ObjectMap = std::map<ObjectId, Value>;

ObjectMap Objects(const Counters& counters);

}  // namespace aldersill::snmp

#endif  // ALDERSILL_SRC_SNMP_OBJECTS_H_
