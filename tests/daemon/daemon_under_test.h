// Runs the built program as a child process, on ports that the kernel chooses, and reads its log. Used by all
// tests that need the real program.
#ifndef ALDERSILL_TESTS_DAEMON_DAEMON_UNDER_TEST_H_
#define ALDERSILL_TESTS_DAEMON_DAEMON_UNDER_TEST_H_

#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
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

// A new empty directory that is removed with everything in it by the destructor.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string pattern = (std::filesystem::temp_directory_path() / "aldersill-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
      throw std::runtime_error("mkdtemp failed for " + pattern);
    path_ = pattern;
  }
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

// Reads a pipe line by line. Owns the descriptor.
class LineReader {
 public:
  using Clock = std::chrono::steady_clock;

  explicit LineReader(int fd) : fd_(fd) {}
  ~LineReader() { close(fd_); }
  LineReader(const LineReader&) = delete;
  LineReader& operator=(const LineReader&) = delete;

  // The next line with its line end; nothing at the end of the stream or when `deadline` has passed.
  std::optional<std::string> ReadLine(std::optional<Clock::time_point> deadline = std::nullopt) {
    std::size_t end = 0;
    while ((end = unread_.find('\n')) == std::string::npos) {
      if (!AwaitReadable(deadline))
        return std::nullopt;
      if (!ReadMore())
        return TakeLine(unread_.size());
    }
    return TakeLine(end + 1);
  }

 private:
  bool AwaitReadable(std::optional<Clock::time_point> deadline) const {
    int timeout_ms = -1;
    if (deadline) {
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(*deadline - Clock::now());
      timeout_ms = static_cast<int>(std::max<std::int64_t>(0, left.count()));
    }
    pollfd readable{fd_, POLLIN, 0};
    return poll(&readable, 1, timeout_ms) > 0;
  }
  // False at the end of the stream.
  bool ReadMore() {
    std::array<char, 4096> buffer{};
    const ssize_t size = read(fd_, buffer.data(), buffer.size());
    if (size <= 0)
      return false;
    unread_.append(buffer.data(), static_cast<std::size_t>(size));
    return true;
  }
  std::optional<std::string> TakeLine(std::size_t size) {
    if (size == 0)
      return std::nullopt;
    std::string line = unread_.substr(0, size);
    unread_.erase(0, size);
    return line;
  }

  int fd_;
  std::string unread_;
};

class DaemonUnderTest {
 public:
  // How long WaitForLogLine waits; enough for a slow machine.
  static constexpr std::chrono::seconds kLogTimeout{60};

  // Starts the program. Returns once it logs `serving` or has ended; ports() is empty if it ended without
  // listening. `settings_variable` names the environment variable that holds the path of the operator's file.
  DaemonUnderTest(const nlohmann::json& config, const nlohmann::json& settings,
                  const char* settings_variable = "ALDERSILL_SETTINGS",
                  const std::string& serving = " serving ", const std::string& program = ALDERSILL_PROGRAM) {
    WriteConfig(config.dump(), settings);
    StartProgram(program, settings_variable);
    while (const auto line = ReadLogLine()) {
      ReadPort(*line);
      if (line->find(serving) != std::string::npos)
        break;
    }
  }
  ~DaemonUnderTest() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  DaemonUnderTest(const DaemonUnderTest&) = delete;
  DaemonUnderTest& operator=(const DaemonUnderTest&) = delete;

  // Replaces the program's files. A running program reads them at its next SIGHUP.
  void WriteConfig(const std::string& config, const nlohmann::json& settings) {
    if (std::filesystem::is_directory(directory_.path() / "config.json"))
      std::filesystem::remove(directory_.path() / "config.json");
    // Replaced by a rename, so that a program that reads it at the same time finds a complete file or none.
    std::ofstream(directory_.path() / "config.new") << config;
    std::filesystem::rename(directory_.path() / "config.new", directory_.path() / "config.json");
    std::ofstream(directory_.path() / "aldersill.yaml") << settings;  // JSON is YAML
  }

  // Replaces the configuration by a directory, which can be opened but not read, until WriteConfig.
  void MakeConfigUnreadable() {
    std::filesystem::remove(directory_.path() / "config.json");
    std::filesystem::create_directory(directory_.path() / "config.json");
  }

  // Reads the log up to a line that contains `text`. False if the program ends without such a line or does
  // not log one within kLogTimeout.
  bool WaitForLogLine(const std::string& text) {
    const auto deadline = LineReader::Clock::now() + kLogTimeout;
    while (const auto line = ReadLogLine(deadline)) {
      if (line->find(text) != std::string::npos)
        return true;
    }
    return false;
  }

  // The ports of the listeners, keyed by the name in the log.
  const std::map<std::string, std::uint16_t>& ports() const { return ports_; }
  pid_t pid() const { return pid_; }
  // The part of the log that was read so far.
  const std::string& log() const { return log_text_; }

  void Signal(int number) { kill(pid_, number); }
  // Suspends the program until SIGCONT. It is suspended when this returns.
  void Suspend() {
    Signal(SIGSTOP);
    waitpid(pid_, nullptr, WUNTRACED);
  }

  // Reads the rest of the log and waits for the program's end. Returns the exit status, or the negated number
  // of the signal that ended the program.
  int WaitForExit() {
    while (ReadLogLine()) {
    }
    int status = 0;
    waitpid(pid_, &status, 0);
    return Ended(status);
  }
  // Returns the same value without waiting, or nothing while the program runs. Does not read the log.
  std::optional<int> ExitCodeIfEnded() {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
      return std::nullopt;
    return Ended(status);
  }

 private:
  void StartProgram(const std::string& program, const char* settings_variable) {
    std::array<int, 2> log_pipe{};
    if (pipe(log_pipe.data()) != 0)
      throw std::runtime_error("cannot create the pipe of the program's log");
    pid_ = fork();
    if (pid_ == 0) {
      dup2(log_pipe[1], STDERR_FILENO);
      close(log_pipe[0]);
      close(log_pipe[1]);
      ExecuteProgram(program, settings_variable);
    }
    close(log_pipe[1]);
    log_.emplace(log_pipe[0]);
  }
  // Called in the child process.
  [[noreturn]] void ExecuteProgram(const std::string& program, const char* settings_variable) const {
    setenv("GW_CONFIG", (directory_.path() / "config.json").c_str(), 1);
    setenv(settings_variable, (directory_.path() / "aldersill.yaml").c_str(), 1);
    for (const char* name : {"GW_NAME", "GW_LISTEN", "GW_DISCOVERY"})
      unsetenv(name);
    execl(program.c_str(), program.c_str(), nullptr);
    constexpr int kCannotExecute = 127;
    _exit(kCannotExecute);
  }

  std::optional<std::string> ReadLogLine(
      std::optional<LineReader::Clock::time_point> deadline = std::nullopt) {
    auto line = log_->ReadLine(deadline);
    if (line)
      log_text_ += *line;
    return line;
  }
  // Stores the port if `line` reports a listener.
  void ReadPort(const std::string& line) {
    std::array<char, 32> name{};
    int port = 0;
    if (std::sscanf(line.c_str(), "aldersill: info listening name=%31[a-z] address=127.0.0.1:%d", name.data(),
                    &port) == 2)
      ports_[name.data()] = static_cast<std::uint16_t>(port);
  }
  int Ended(int status) {
    pid_ = -1;
    const int exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    if (exit_code != 0)
      PrintLogEnd(exit_code);
    return exit_code;
  }
  // Shows why the program failed, for example a sanitizer's report.
  void PrintLogEnd(int exit_code) const {
    constexpr std::size_t kMaxPrinted = 8'192;
    const std::string end = log_text_.substr(log_text_.size() - std::min(log_text_.size(), kMaxPrinted));
    std::fprintf(stderr, "the program ended with %d; the end of its log:\n%s\n", exit_code, end.c_str());
  }

  const TemporaryDirectory directory_;
  pid_t pid_ = -1;  // -1 once the program's end was noticed
  std::optional<LineReader> log_;
  std::string log_text_;
  std::map<std::string, std::uint16_t> ports_;
};

}  // namespace aldersill::tests

#endif  // ALDERSILL_TESTS_DAEMON_DAEMON_UNDER_TEST_H_
