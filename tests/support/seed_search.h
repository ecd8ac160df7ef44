// The command line and the loop that the seed searches share: each seed plays one scenario, a seed that
// breaks a promise is printed, and can be played again alone with --seed.
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
  std::string description;  // shown by --help
  // Plays one seed and returns the broken promise, empty if all were kept. `verbose`: print what happens.
  std::function<std::string(std::uint64_t seed, bool verbose)> play;
  // What the final line says after the number of failures.
  std::function<std::string()> summary;
};

// The exit status: 0 if no seed broke a promise or, with --expect-violation, if one did.
inline int RunSeedSearch(int argc, char** argv, const SeedSearch& search) {
  CLI::App app(search.description);
  std::uint64_t first = 1;
  std::uint64_t count = 100;
  std::optional<std::uint64_t> single_seed;
  bool expect_violation = false;
  app.add_option("--first", first, "The first seed");
  app.add_option("--count", count, "How many");
  app.add_option("--seed", single_seed, "Plays this one and prints what happens");
  app.add_flag("--expect-violation", expect_violation,
               "The program has an injected fault: succeed if a seed breaks a promise");
  CLI11_PARSE(app, argc, argv);
  if (single_seed) {
    first = *single_seed;
    count = 1;
  }
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::string broken = search.play(seed, single_seed.has_value());
    if (broken.empty())
      continue;
    ++failed;
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), broken.c_str());
    if (expect_violation)
      break;
  }
  std::printf("%llu seeds from %llu: %llu broke a promise; %s\n", static_cast<unsigned long long>(count),
              static_cast<unsigned long long>(first), static_cast<unsigned long long>(failed),
              search.summary().c_str());
  const bool found = failed > 0;
  return found == expect_violation ? 0 : 1;
}

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_SUPPORT_SEED_SEARCH_H_
