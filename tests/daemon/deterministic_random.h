// Random choices that depend only on the seed, not on the machine or the standard library.
#ifndef ALDERSILL_TESTS_DAEMON_DETERMINISTIC_RANDOM_H_
#define ALDERSILL_TESTS_DAEMON_DETERMINISTIC_RANDOM_H_

#include <cstdint>
#include <random>
#include <vector>

namespace aldersill {

// The C++ standard specifies the engine's output exactly. Distributions differ between libraries, so none is
// used.
class DeterministicRandom {
 public:
  explicit DeterministicRandom(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t Below(std::uint64_t limit) { return engine_() % limit; }
  bool Percent(std::uint64_t percent) { return Below(100) < percent; }
  template <typename T>
  const T& Pick(const std::vector<T>& from) {
    return from[Below(from.size())];
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace aldersill

#endif  // ALDERSILL_TESTS_DAEMON_DETERMINISTIC_RANDOM_H_
