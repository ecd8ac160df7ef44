// Starts the built program on ports of the kernel's choice and ends it. The one helper of the network tests.
#ifndef ALDERSILL_TESTS_DAEMON_DAEMON_UNDER_TEST_H_
#define ALDERSILL_TESTS_DAEMON_DAEMON_UNDER_TEST_H_

#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace aldersill::tests {

inline nlohmann::json ReadJson(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw std::runtime_error("cannot read " + path);
  return nlohmann::json::parse(file);
}

class DaemonUnderTest {
 public:
  // Waits until it serves, or has ended: ports() is empty then.
  DaemonUnderTest(const nlohmann::json& config, const nlohmann::json& settings,
                  const char* settings_variable = "ALDERSILL_SETTINGS",
                  const std::string& serving = " serving ", const std::string& program = ALDERSILL_PROGRAM) {
    std::string pattern = (std::filesystem::temp_directory_path() / "aldersill-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
      throw std::runtime_error("mkdtemp");
    folder_ = pattern;
    Write(config.dump(), settings);
    int log[2];
    if (pipe(log) != 0)
      throw std::runtime_error("pipe");
    pid_ = fork();
    if (pid_ == 0) {
      dup2(log[1], 2);
      close(log[0]);
      close(log[1]);
      setenv("GW_CONFIG", (folder_ / "config.json").c_str(), 1);
      setenv(settings_variable, (folder_ / "aldersill.yaml").c_str(), 1);
      for (const char* name : {"GW_NAME", "GW_LISTEN", "GW_DISCOVERY"})
        unsetenv(name);
      execl(program.c_str(), program.c_str(), nullptr);
      _exit(127);
    }
    close(log[1]);
    log_ = fdopen(log[0], "r");
    for (std::string line; NextLine(&line);) {
      char response_sink[32];
      int port = 0;
      if (std::sscanf(line.c_str(), "aldersill: info listening name=%31[a-z] address=127.0.0.1:%d",
                      response_sink, &port) == 2)
        ports_[response_sink] = static_cast<std::uint16_t>(port);
      if (line.find(serving) != std::string::npos)
        break;
    }
  }
  ~DaemonUnderTest() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    std::fclose(log_);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  // Replaces its files; it reads them when it is told to.
  void Write(const std::string& config, const nlohmann::json& settings) {
    std::ofstream(folder_ / "config.json") << config;
    std::ofstream(folder_ / "aldersill.yaml") << settings;  // JSON is YAML
  }
  // Reads its log up to a line with this text; false if it ends without one.
  bool Logs(const std::string& text) {
    for (std::string line; NextLine(&line);) {
      if (line.find(text) != std::string::npos)
        return true;
    }
    return false;
  }
  const std::map<std::string, std::uint16_t>& ports() const { return ports_; }
  pid_t pid() const { return pid_; }
  void Signal(int number) { kill(pid_, number); }
  // Stands still on return, until SIGCONT.
  void Stop() {
    Signal(SIGSTOP);
    waitpid(pid_, nullptr, WUNTRACED);
  }
  // Reads what it still logs, waits for its end, and gives the exit code, or minus the signal.
  int Wait() {
    for (std::string line; NextLine(&line);) {
    }
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  // As Wait, at once: nothing while it runs. What it logs meanwhile is not read.
  std::optional<int> Ended() {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
      return std::nullopt;
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  const std::string& log() const { return all_; }

 private:
  bool NextLine(std::string* line) {
    char buffer[2048];
    if (std::fgets(buffer, sizeof(buffer), log_) == nullptr)
      return false;
    *line = buffer;
    all_ += *line;
    return true;
  }

  std::filesystem::path folder_;
  pid_t pid_ = -1;
  std::FILE* log_ = nullptr;
  std::string all_;
  std::map<std::string, std::uint16_t> ports_;
};

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_DAEMON_DAEMON_UNDER_TEST_H_
