// The command line and the loop that the seed searches share. Each seed runs one scenario. Seeds that violate
// a rule are printed; --seed runs one of them again and prints its events.
#ifndef ALDERSILL_TESTS_SUPPORT_SEED_SEARCH_H_
#define ALDERSILL_TESTS_SUPPORT_SEED_SEARCH_H_

#include <CLI/CLI.hpp>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <optional>
#include <string>

namespace aldersill::tests {

struct SeedSearch {
  std::string description;  // the text for --help
  // Runs the scenario of one seed and returns the violated rule or an empty string. Prints the events if
  // `verbose` is set.
  std::function<std::string(std::uint64_t seed, bool verbose)> play;
  // Returns the text that the final line shows after the number of failures.
  std::function<std::string()> summary;
};

// Runs the seeds that the command line selects. Returns the exit status: 1 if a seed violated a rule,
// otherwise 0, and the opposite with --expect-violation.
inline int RunSeedSearch(int argc, char** argv, const SeedSearch& search) {
  CLI::App app(search.description);
  std::uint64_t first = 1;
  std::uint64_t count = 100;
  std::optional<std::uint64_t> single_seed;
  bool expect_violation = false;
  app.add_option("--first", first, "First seed");
  app.add_option("--count", count, "Number of seeds");
  app.add_option("--seed", single_seed, "Run only this seed and print its events");
  app.add_flag("--expect-violation", expect_violation,
               "The program has an injected fault: succeed if a seed violates a rule");
  CLI11_PARSE(app, argc, argv);
  if (single_seed) {
    first = *single_seed;
    count = 1;
  }
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::string violation = search.play(seed, single_seed.has_value());
    if (violation.empty())
      continue;
    ++failed;
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), violation.c_str());
    if (expect_violation)
      break;
  }
  std::printf("%llu seeds from %llu: %llu violated a rule; %s\n", static_cast<unsigned long long>(count),
              static_cast<unsigned long long>(first), static_cast<unsigned long long>(failed),
              search.summary().c_str());
  const bool found = failed > 0;
  return found == expect_violation ? 0 : 1;
}

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_SUPPORT_SEED_SEARCH_H_
