// Tests the command line and the sub-commands that read configurations, by running the program.
#include <doctest/doctest.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace aldersill::tests {
namespace {

struct ProgramRun {
  int exit_status = -1;
  std::string output;  // standard output and standard error
};

ProgramRun RunProgram(const std::string& arguments) {
  std::FILE* pipe = popen((std::string(ALDERSILL_PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
  REQUIRE(pipe != nullptr);
  ProgramRun run;
  char buffer[512];
  while (std::fgets(buffer, sizeof(buffer), pipe) != nullptr)
    run.output += buffer;
  const int status = pclose(pipe);
  run.exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return run;
}

// Sets an environment variable during its lifetime, for the programs that are started in that time.
class ScopedVariable {
 public:
  ScopedVariable(const char* name, const std::string& value) : name_(name) { setenv(name, value.c_str(), 1); }
  ~ScopedVariable() { unsetenv(name_); }
  ScopedVariable(const ScopedVariable&) = delete;
  ScopedVariable& operator=(const ScopedVariable&) = delete;

 private:
  const char* name_;
};

// A temporary directory with a valid and an invalid operator's file.
class OperatorFiles {
 public:
  OperatorFiles() {
    std::string pattern = (std::filesystem::temp_directory_path() / "aldersill-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
      throw std::runtime_error("mkdtemp");
    folder_ = pattern;
    std::ofstream(good()) << "faktory: {enabled: true}\n";
    std::ofstream(bad()) << "faktory: {enabld: true}\n";
  }
  ~OperatorFiles() {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  OperatorFiles(const OperatorFiles&) = delete;
  OperatorFiles& operator=(const OperatorFiles&) = delete;

  std::string good() const { return folder_ / "good.yaml"; }
  std::string bad() const { return folder_ / "bad.yaml"; }
  std::string missing() const { return folder_ / "none.yaml"; }

 private:
  std::filesystem::path folder_;
};

TEST_CASE("check-config prints the kind of each valid file") {
  const OperatorFiles files;
  const std::string platform = std::string(ALDERSILL_EXCHANGES) + "/config.json";
  const ProgramRun run = RunProgram("check-config " + files.good() + " " + platform);
  CHECK(run.exit_status == 0);
  CHECK(run.output == files.good() + ": good, as the operator's settings\n" + platform +
                          ": good, as the platform's configuration\n");
}

TEST_CASE("check-config fails with the error of an invalid or unreadable file") {
  const OperatorFiles files;
  const ProgramRun invalid = RunProgram("check-config " + files.good() + " " + files.bad());
  CHECK(invalid.exit_status == 1);
  CHECK(invalid.output.find(files.bad() +
                            ":1: faktory.enabld is unknown: did you mean 'enabled'? Accepted: ") !=
        std::string::npos);
  const ProgramRun missing = RunProgram("check-config " + files.missing());
  CHECK(missing.exit_status == 1);
  CHECK(missing.output.ends_with("none.yaml:1: the file cannot be read\n"));
}

TEST_CASE("print-config prints the operator's settings in force, defaults included") {
  const OperatorFiles files;
  const ScopedVariable settings("ALDERSILL_SETTINGS", files.good());
  const ProgramRun run = RunProgram("print-config");
  CHECK(run.exit_status == 0);
  CHECK(run.output.find("faktory:\n  enabled: true\n  listen: 127.0.0.1:7419\n") != std::string::npos);
}

TEST_CASE("the operator's file cannot be named by both variables") {
  const OperatorFiles files;
  const ScopedVariable settings("ALDERSILL_SETTINGS", files.good());
  const ScopedVariable fronts("ALDERSILL_FRONTS", files.good());
  const ProgramRun run = RunProgram("print-config");
  CHECK(run.exit_status == 1);
  CHECK(run.output.find("ALDERSILL_SETTINGS and ALDERSILL_FRONTS are both set") != std::string::npos);
}

TEST_CASE("--version and --help succeed, and an invalid command line exits with 2") {
  const ProgramRun version = RunProgram("--version");
  CHECK(version.exit_status == 0);
  CHECK(version.output.starts_with("aldersill "));
  const ProgramRun help = RunProgram("--help");
  CHECK(help.exit_status == 0);
  CHECK(help.output.find("Exit status") != std::string::npos);
  CHECK(RunProgram("serv").exit_status == 2);
  CHECK(RunProgram("check-config").exit_status == 2);
}

TEST_CASE("serve requires the platform's configuration") {
  unsetenv("GW_CONFIG");
  const ProgramRun run = RunProgram("serve");
  CHECK(run.exit_status == 1);
  CHECK(run.output == "aldersill: GW_CONFIG is not set\n");
}

}  // namespace
}  // namespace aldersill::tests
