// Reduces each seed's run to one 64-bit digest and compares it with a recorded list. A change that must not
// alter the behaviour of a core must keep every digest; one that alters it on purpose records a new list.
#ifndef ALDERSILL_TESTS_SUPPORT_RECORDED_DIGESTS_H_
#define ALDERSILL_TESTS_SUPPORT_RECORDED_DIGESTS_H_

#include <CLI/CLI.hpp>
#include <concepts>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <string_view>

namespace aldersill::tests {

// The FNV-1a hash of all added values, in order. Each text is preceded by its length.
class RunDigest {
 public:
  template <std::integral T>
  void Add(T number) {
    const auto bits = static_cast<std::uint64_t>(number);
    for (int shift = 0; shift < 64; shift += 8)
      AddByte(static_cast<unsigned char>(bits >> shift & 0xff));
  }
  void Add(std::string_view text) {
    Add(text.size());
    for (const char character : text)
      AddByte(static_cast<unsigned char>(character));
  }
  std::uint64_t value() const { return hash_; }

 private:
  void AddByte(unsigned char byte) { hash_ = (hash_ ^ byte) * 0x100000001b3ULL; }
  std::uint64_t hash_ = 0xcbf29ce484222325ULL;
};

// Parses the command line and compares the digests of seeds 1 to --count with those in the file, which has
// one line for each seed: the seed and its digest in hexadecimal. Returns the exit status: 1 if any seed
// differs from its line or has no line, otherwise 0. With --record it writes the file instead.
inline int CompareWithRecorded(int argc, char** argv,
                               const std::function<std::uint64_t(std::uint64_t seed)>& digest_of) {
  CLI::App app("Compares the digests of whole runs with recorded digests.");
  std::string path;
  std::uint64_t count = 100;
  bool record = false;
  app.add_option("--recorded", path, "File of the recorded digests")->required();
  app.add_option("--count", count, "Number of seeds");
  app.add_flag("--record", record, "Write the file instead of comparing with it");
  CLI11_PARSE(app, argc, argv);
  std::ofstream out;
  std::ifstream recorded;
  record ? out.open(path) : recorded.open(path);
  std::uint64_t differing = 0;
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    char line[64];
    std::snprintf(line, sizeof(line), "%llu %016llx", static_cast<unsigned long long>(seed),
                  static_cast<unsigned long long>(digest_of(seed)));
    if (record) {
      out << line << '\n';
      continue;
    }
    std::string expected;
    std::getline(recorded, expected);
    if (expected == line)
      continue;
    ++differing;
    std::printf("seed %llu: recorded \"%s\", now \"%s\"\n", static_cast<unsigned long long>(seed),
                expected.c_str(), line);
  }
  std::printf("%llu seeds, %llu differ\n", static_cast<unsigned long long>(count),
              static_cast<unsigned long long>(differing));
  return differing == 0 ? 0 : 1;
}

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_SUPPORT_RECORDED_DIGESTS_H_
