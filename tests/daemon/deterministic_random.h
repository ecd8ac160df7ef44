// Random choices that are the same for the same seed on every machine.
#ifndef ALDERSILL_TESTS_DAEMON_DETERMINISTIC_RANDOM_H_
#define ALDERSILL_TESTS_DAEMON_DETERMINISTIC_RANDOM_H_

#include <cstdint>
#include <random>
#include <vector>

namespace aldersill {

// The standard fixes this engine's output; its distributions differ by library, so they are not used.
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
