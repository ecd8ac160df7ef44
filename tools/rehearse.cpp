// rehearse: plays a recorded byte exchange against a running daemon.
//   rehearse FILE LISTENER=PORT ...      for example: rehearse calm.txt http=8000 faktory=7419
// Exit status: 0 if the exchange went as recorded, 1 if it differed, 2 for wrong arguments.
#include <cstdint>
#include <cstdio>
#include <exception>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>

#include "player.h"

namespace {

using Listeners = std::map<std::string, std::uint16_t>;

// Throws std::invalid_argument or std::out_of_range for an argument that is not LISTENER=PORT.
void AddListener(const std::string& argument, Listeners* listeners) {
  const std::size_t equals = argument.find('=');
  if (equals == std::string::npos)
    throw std::invalid_argument(argument);
  (*listeners)[argument.substr(0, equals)] =
      static_cast<std::uint16_t>(std::stoi(argument.substr(equals + 1)));
}

}  // namespace

int main(int argc, char** argv) {
  Listeners listeners;
  try {
    for (int i = 2; i < argc; ++i)
      AddListener(argv[i], &listeners);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rehearse: expected LISTENER=PORT, got '%s'\n", error.what());
    return 2;
  }
  std::ifstream file(argc > 1 ? argv[1] : "");
  if (!file) {
    std::fprintf(stderr, "usage: rehearse FILE LISTENER=PORT ...\n");
    return 2;
  }
  std::ostringstream text;
  text << file.rdbuf();
  aldersill::tools::Player player(std::move(listeners));
  const std::string difference = player.Play(text.str());
  if (difference.empty()) {
    std::printf("%s: as recorded\n", argv[1]);
    return 0;
  }
  std::printf("%s: %s\n", argv[1], difference.c_str());
  return 1;
}
