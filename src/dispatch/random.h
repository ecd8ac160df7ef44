// A seeded source of random numbers and a hash function, both of which give the same values on every
// platform.
#ifndef ALDERSILL_SRC_DISPATCH_RANDOM_H_
#define ALDERSILL_SRC_DISPATCH_RANDOM_H_

#include <cstddef>
#include <cstdint>
#include <random>

namespace aldersill::dispatch {

// SplitMix64's finalizer. It spreads similar values evenly over 64 bits and is the same on every node.
inline std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// A Mersenne Twister with draws that do not depend on the standard library's distributions.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  // A number in [0, 1).
  double Uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  // A whole number in [0, below). Returns 0 without using up a random number if `below` is at most 1.
  int Draw(std::size_t below) { return below > 1 ? static_cast<int>(engine_() % below) : 0; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_RANDOM_H_
