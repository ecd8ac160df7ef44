// Searches seeds for a scenario in which the cluster violates an invariant.
#include <algorithm>
#include <cstdio>

#include "cluster_scenario.h"
#include "support/seed_search.h"

int main(int argc, char** argv) {
  using aldersill::Micros;
  namespace tests = aldersill::tests;
  std::uint64_t takeovers = 0;
  std::uint64_t refuted = 0;
  std::uint64_t leases = 0;
  double worst_ratio = 0;  // of the longest time without an owner to its bound
  tests::SeedSearch search;
  search.description = "Searches seeds for a run in which the cluster violates an invariant.";
  search.play = [&](std::uint64_t seed, bool verbose) {
    const tests::ClusterVerdict verdict = tests::ClusterScenario(seed, verbose).Play();
    takeovers += verdict.takeovers;
    refuted += verdict.deaths_refuted;
    leases += verdict.leases;
    worst_ratio =
        std::max(worst_ratio, static_cast<double>(verdict.ownerless) /
                                  static_cast<double>(std::max<Micros>(1, verdict.ownerless_bound)));
    return verdict.violation;
  };
  search.summary = [&] {
    char text[200];
    std::snprintf(
        text, sizeof(text),
        "%llu takeovers, %llu false deaths refuted, %llu leases taken; longest time of a worker without an "
        "owner: %.2f of its bound",
        static_cast<unsigned long long>(takeovers), static_cast<unsigned long long>(refuted),
        static_cast<unsigned long long>(leases), worst_ratio);
    return std::string(text);
  };
  return tests::RunSeedSearch(argc, argv, search);
}
