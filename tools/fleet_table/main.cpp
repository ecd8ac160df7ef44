// fleet_table FOLDER: prints the totals of a run from the logs in a folder, one file (*.log) per dispatcher.
// Exit status: 0; 1 with a message on standard error if a file cannot be read or no line was written by a
// dispatcher.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "fleet_table/report.h"
#include "fleet_table/totals.h"

namespace {

using aldersill::fleet_table::Settings;
using aldersill::fleet_table::Table;
using aldersill::fleet_table::Totals;

struct Options {
  std::string folder;
  Settings settings;
  std::size_t max_items = 20;
};

void Define(CLI::App* app, Options* options) {
  app->add_option("folder", options->folder, "the folder of logs, one *.log per dispatcher")
      ->required()
      ->check(CLI::ExistingDirectory);
  app->add_option("--every", options->settings.interval, "seconds covered by one row")
      ->check(CLI::Range(0.1, 86'400.0));
  app->add_option("--warm-after", options->settings.warm_after,
                  "seconds after its start for which a worker is cold")
      ->check(CLI::PositiveNumber);
  app->add_option("--window", options->settings.cold_window,
                  "seconds over which a cold worker's budget is counted")
      ->check(CLI::PositiveNumber);
  app->add_option("--most", options->max_items, "maximum number of lines of each list");
}

std::vector<std::filesystem::path> LogFilesIn(const std::string& folder) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".log")
      files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

// Adds the lines of one log file. Returns false if the file cannot be read.
bool AddFile(const std::filesystem::path& path, Totals* totals) {
  std::ifstream file(path);
  if (!file)
    return false;
  for (std::string line; std::getline(file, line);)
    totals->Add(path.stem().string(), line);
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app("Totals of a run of many dispatchers, from their traces (docs/trace.md)");
  Define(&app, &options);
  CLI11_PARSE(app, argc, argv);

  Totals totals(options.settings);
  const std::vector<std::filesystem::path> files = LogFilesIn(options.folder);
  for (const std::filesystem::path& path : files) {
    if (!AddFile(path, &totals)) {
      fmt::print(stderr, "fleet_table: cannot read {}\n", path.string());
      return 1;
    }
  }
  const Table table = totals.Result();
  if (table.lines == table.foreign_lines) {
    fmt::print(stderr, "fleet_table: no line written by a dispatcher in {} ({} *.log files)\n",
               options.folder, files.size());
    return 1;
  }
  aldersill::fleet_table::PrintReport(table, options.settings, options.max_items);
  return 0;
}
