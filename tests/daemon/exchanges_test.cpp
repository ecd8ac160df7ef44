// Plays each recorded exchange in tests/exchanges against a new daemon. In a file, `config POINTER VALUE`
// sets a value of the platform's configuration and `config own POINTER VALUE` sets one of the operator's
// settings.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <sstream>
#include <vector>

#include "daemon_under_test.h"
#include "player.h"

namespace aldersill::tests {
namespace {

// The directory of the recorded exchanges.
const std::filesystem::path kDirectory = ALDERSILL_EXCHANGES;
std::string file_prefix;  // only files whose names begin with this text are played

// Applies the `config` lines of an exchange to the configuration and the settings.
void Configure(const std::string& exchange, nlohmann::json* config, nlohmann::json* settings) {
  std::istringstream lines(exchange);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string verb;
    std::string pointer;
    std::string value;
    if (!(words >> verb) || verb != "config")
      continue;
    words >> pointer;
    nlohmann::json* target = config;
    if (pointer == "own") {
      target = settings;
      words >> pointer;
    }
    std::getline(words, value);
    (*target)[nlohmann::json::json_pointer(pointer)] = nlohmann::json::parse(value);
  }
}

void PlayFile(const std::filesystem::path& path) {
  CAPTURE(path.filename().string());
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  nlohmann::json config = ReadJson((kDirectory / "config.json").string());
  nlohmann::json settings = ReadJson((kDirectory / "aldersill.json").string());
  Configure(text.str(), &config, &settings);
  tools::Player player({});
  config["discovery"] = "127.0.0.1:" + std::to_string(player.Listen("discovery"));
  DaemonUnderTest daemon(config, settings);
  INFO("log:\n" << daemon.log());
  for (const auto& [name, port] : daemon.ports())
    player.AddDaemonListener(name, port);
  const std::string difference = player.Play(text.str());
  CHECK_MESSAGE(difference.empty(), difference);
  daemon.Signal(SIGTERM);
  CHECK(daemon.WaitForExit() == 0);
}

TEST_CASE("the daemon answers every recorded exchange as recorded") {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(kDirectory)) {
    if (entry.path().extension() == ".txt" && entry.path().filename().string().starts_with(file_prefix))
      files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  REQUIRE(!files.empty());
  for (const auto& path : files)
    PlayFile(path);
}

}  // namespace
}  // namespace aldersill::tests

int main(int argc, char** argv) {
  if (argc > 1 && argv[1][0] != '-')
    aldersill::tests::file_prefix = argv[1];
  return doctest::Context(argc, argv).run();
}
