// A seeded source of random draws that are alike on every platform, and a hash that is.
#ifndef ALDERSILL_SRC_DISPATCH_RANDOM_H_
#define ALDERSILL_SRC_DISPATCH_RANDOM_H_

#include <cstddef>
#include <cstdint>
#include <random>

namespace aldersill::dispatch {

// SplitMix64's finaliser: spreads similar values evenly, the same on every node.
inline std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  // In [0, 1).
  double Uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  // In [0, below); 0 without a draw if there is no choice.
  int Draw(std::size_t below) { return below > 1 ? static_cast<int>(engine_() % below) : 0; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_RANDOM_H_
