// rehearse: plays a recorded byte exchange against a running daemon.
//   rehearse FILE LISTENER=PORT ...      for example: rehearse calm.txt http=8000 faktory=7419
// Ends with 0 if all went as recorded, 1 if something differed, 2 for wrong arguments.
#include <cstdio>
#include <exception>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include "player.h"

int main(int argc, char** argv) {
  std::map<std::string, std::uint16_t> daemon_listeners;
  try {
    for (int i = 2; i < argc; ++i) {
      const std::string listener = argv[i];
      const std::size_t equals = listener.find('=');
      if (equals == std::string::npos)
        throw std::invalid_argument(listener);
      daemon_listeners[listener.substr(0, equals)] =
          static_cast<std::uint16_t>(std::stoi(listener.substr(equals + 1)));
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "rehearse: '%s' is not LISTENER=PORT\n", e.what());
    return 2;
  }
  std::ifstream file(argc > 1 ? argv[1] : "");
  if (!file) {
    std::fprintf(stderr, "usage: rehearse FILE LISTENER=PORT ...\n");
    return 2;
  }
  std::ostringstream text;
  text << file.rdbuf();
  aldersill::tools::Player player(std::move(daemon_listeners));
  const std::string differs = player.Play(text.str());
  if (differs.empty()) {
    std::printf("%s: as recorded\n", argv[1]);
    return 0;
  }
  std::printf("%s: %s\n", argv[1], differs.c_str());
  return 1;
}
