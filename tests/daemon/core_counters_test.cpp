// Tests the reducer's counters and the SNMP objects that expose them.
#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include "cluster/objects.h"
#include "reducer_harness.h"
#include "snmp/objects.h"

namespace aldersill {
namespace {

TEST_CASE("the counters add up, and the MIB shows them in order") {
  ReducerHarness harness;
  harness.Request(1, "safe");
  harness.PostClientLeft(1);
  CHECK(harness.Single<StopAttempt>().attempt == AttemptId{1});
  const Counters& counters = harness.core().counters();
  CHECK(counters.classes[0].received == 1);
  CHECK(counters.classes[0].clients_left == 1);
  const auto objects = snmp::Objects(counters);
  CHECK(std::get<snmp::Counter>(objects.at({2, 1, 3, 1})).value == 1);
  CHECK(std::get<snmp::Gauge>(objects.at({1, 3, 0})).value == 1);
  CHECK(objects.begin()->first == snmp::ObjectId{1, 1, 0});
}

// Returns the ids of the MIB file's read-only objects, relative to the MIB's root.
std::set<snmp::ObjectId> ObjectsOfMib() {
  std::ifstream file(ALDERSILL_MIB);
  std::ostringstream all;
  all << file.rdbuf();
  const std::string text = all.str().substr(all.str().find("FROM NET-SNMP-MIB;"));
  std::map<std::string, snmp::ObjectId> ids = {{"netSnmpPlaypen", {}}};
  std::set<snmp::ObjectId> readable;
  const std::regex object(
      R"((\w+)\s+(?:OBJECT IDENTIFIER|MODULE-IDENTITY|OBJECT-TYPE)([\s\S]*?)::=\s*\{\s*(\w+)\s+(\d+)\s*\})");
  for (std::sregex_iterator match(text.begin(), text.end(), object), end; match != end; ++match) {
    snmp::ObjectId id = ids.at((*match)[3]);
    if ((*match)[3] != "netSnmpPlaypen")
      id.push_back(std::stoull((*match)[4]));
    ids[(*match)[1]] = id;
    if ((*match)[2].str().find("read-only") != std::string::npos)
      readable.insert(id);
  }
  return readable;
}

TEST_CASE("the agent exposes exactly the objects that the MIB file describes") {
  ReducerHarness harness;
  std::set<snmp::ObjectId> shown;
  snmp::ObjectMap objects = snmp::Objects(harness.core().counters());
  cluster::Cluster cluster({}, 1);
  cluster::AddObjects(cluster, {}, membership::Sealer({membership::Key{}}, 1), kTestStart, &objects);
  for (const auto& [id, value] : objects)
    shown.insert(snmp::ObjectId(id.begin(), id.end() - 1));  // without the row index, or without a scalar's 0
  CHECK(shown.size() == 19 + 25 + 3);
  CHECK(shown == ObjectsOfMib());
}

}  // namespace
}  // namespace aldersill
