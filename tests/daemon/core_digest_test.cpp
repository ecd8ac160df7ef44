// Runs random event sequences through the reducer and compares digests of its effects with recorded ones. A
// change that keeps the reducer's behavior must keep every digest. For an intended change, see
// RecordedDigests().
#include <doctest/doctest.h>

#include <cstdint>
#include <fstream>
#include <ios>
#include <map>

#include "random_core_run.h"

namespace aldersill {
namespace {

using DigestsBySeed = std::map<std::uint64_t, std::uint64_t>;

// Reads the recorded digests from lines of "seed digest". The test writes the computed ones to
// core_digests.txt in its working directory. After a change that is meant to alter effects, review that file
// and copy it over the recorded one.
DigestsBySeed RecordedDigests() {
  std::ifstream file(ALDERSILL_CORE_DIGESTS);
  REQUIRE(file);
  DigestsBySeed digests;
  std::uint64_t seed = 0;
  while (file >> std::dec >> seed)
    file >> std::hex >> digests[seed];
  return digests;
}

TEST_CASE("the same events give the same effects and counters as recorded") {
  const DigestsBySeed recorded = RecordedDigests();
  CHECK(recorded.size() == 2'000);
  std::ofstream computed("core_digests.txt");
  std::uint64_t first_different = 0;
  for (std::uint64_t seed = 1; seed <= ALDERSILL_CORE_DIGEST_SEEDS; ++seed) {
    const std::uint64_t digest = RandomCoreRun(seed).DigestOfRun();
    computed << std::dec << seed << ' ' << std::hex << digest << '\n';
    const auto expected = recorded.find(seed);
    if (first_different == 0 && (expected == recorded.end() || expected->second != digest))
      first_different = seed;
  }
  INFO("first seed that differs: ", first_different);
  CHECK(first_different == 0);
}

}  // namespace
}  // namespace aldersill
