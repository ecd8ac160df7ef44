// The reducer's counters and their MIB.
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
  harness.LeaveClient(1);
  CHECK(harness.Single<StopAttempt>().attempt == AttemptId{1});
  const Counters& c = harness.core().counters();
  CHECK(c.classes[0].received == 1);
  CHECK(c.classes[0].clients_left == 1);
  const auto objects = snmp::Objects(c);
  CHECK(std::get<snmp::Counter>(objects.at({2, 1, 3, 1})).value == 1);
  CHECK(std::get<snmp::Gauge>(objects.at({1, 3, 0})).value == 1);
  CHECK(objects.begin()->first == snmp::ObjectId{1, 1, 0});
}

// The MIB file's read-only objects, below its root.
std::set<snmp::ObjectId> ObjectsOfMib() {
  std::ifstream file(ALDERSILL_MIB);
  std::ostringstream all;
  all << file.rdbuf();
  const std::string text = all.str().substr(all.str().find("FROM NET-SNMP-MIB;"));
  std::map<std::string, snmp::ObjectId> ids = {{"netSnmpPlaypen", {}}};
  std::set<snmp::ObjectId> readable;
  const std::regex object(
      R"((\w+)\s+(?:OBJECT IDENTIFIER|MODULE-IDENTITY|OBJECT-TYPE)([\s\S]*?)::=\s*\{\s*(\w+)\s+(\d+)\s*\})");
  for (std::sregex_iterator at(text.begin(), text.end(), object), end; at != end; ++at) {
    snmp::ObjectId id = ids.at((*at)[3]);
    if ((*at)[3] != "netSnmpPlaypen")
      id.push_back(std::stoull((*at)[4]));
    ids[(*at)[1]] = id;
    if ((*at)[2].str().find("read-only") != std::string::npos)
      readable.insert(id);
  }
  return readable;
}

TEST_CASE("the agent shows what the MIB file describes, no more and no less") {
  ReducerHarness harness;
  std::set<snmp::ObjectId> shown;
  snmp::ObjectMap objects = snmp::Objects(harness.core().counters());
  cluster::Cluster cluster({}, 1);
  cluster::AddObjects(cluster, {}, membership::Sealer({membership::Key{}}, 1), kTestStart, &objects);
  for (const auto& [id, value] : objects)
    shown.insert(snmp::ObjectId(id.begin(), id.end() - 1));  // less the index, or a scalar's 0
  CHECK(shown.size() == 17 + 25 + 3);
  CHECK(shown == ObjectsOfMib());
}

}  // namespace
}  // namespace aldersill
