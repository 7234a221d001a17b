// Defines the flags and parses the command line. gflags stores the values but
// doesn't parse the command line, because it exits with its own code on errors.
#include "cli/flags.h"

#include "cli/errors.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <optional>

DEFINE_string(address, "127.0.0.1:8000", "IP:PORT of an entry instance");
DEFINE_string(addresses, "",
              "comma-separated list of IP:PORT of entry instances");
DEFINE_string(token_file, "", "file with the caller's token");
DEFINE_bool(json, false, "print JSON instead of tables");
DEFINE_int32(timeout_ms, 10'000, "how long one call may take, in ms");
DEFINE_uint64(ticket, 0, "the new ticket's number; 0 takes the next");
DEFINE_uint64(drain_limit_ms, 30'000,
              "how long an instance may drain before its tasks are "
              "checkpointed, in ms");
DEFINE_uint64(work_ms, 0, "declared run time, in ms");
DEFINE_uint32(cores, 1, "declared cores");
DEFINE_uint32(memory_mb, 0, "declared memory, in MB");
DEFINE_string(state, "", "only jobs in this state");
DEFINE_string(current, "", "file with the configuration in force");
DEFINE_string(largest_task, "",
              "what the largest task needs: CPU_MILLI,MEM_MB,GPUS");

namespace heathercross::cli {

namespace {

constexpr std::array<std::string_view, 4> GlobalFlags{"address", "token_file",
                                                      "json", "timeout_ms"};
constexpr std::array<std::string_view, 13> AllFlags{
    "address",    "addresses",      "token_file",  "json",  "ticket",
    "timeout_ms", "drain_limit_ms", "work_ms",     "cores", "memory_mb",
    "state",      "current",        "largest_task"};

/// The column at which --help shows the descriptions of flags.
constexpr std::size_t DescriptionColumn = 20;

std::string withUnderscores(std::string Name) {
  std::ranges::replace(Name, '-', '_');
  return Name;
}

/// Parses the arguments in order.
class CommandLineParser {
public:
  explicit CommandLineParser(std::span<char *const> Arguments)
      : Remaining_(Arguments) {}

  CommandLine parse() && {
    while (!Remaining_.empty())
      parseArgument(next());
    return std::move(Result_);
  }

private:
  std::string next() {
    std::string Argument = Remaining_.front();
    Remaining_ = Remaining_.subspan(1);
    return Argument;
  }

  void parseArgument(const std::string &Argument) {
    if (Argument == "--help" || Argument == "-h")
      Result_.Help_ = true;
    else if (WordsOnly_ || !Argument.starts_with("--"))
      Result_.Words_.push_back(Argument);
    else if (Argument == "--")
      WordsOnly_ = true;
    else
      parseFlag(Argument.substr(2));
  }

  void parseFlag(const std::string &Text) {
    const auto Equals = Text.find('=');
    const std::string Name = withUnderscores(Text.substr(0, Equals));
    if (std::ranges::find(AllFlags, Name) == AllFlags.end())
      raise(UsageError("unknown flag --" + Text.substr(0, Equals)));
    setFlag(Name, Equals == std::string::npos ? flagValue(Name)
                                              : Text.substr(Equals + 1));
  }

  std::string flagValue(const std::string &Name) {
    if (gflags::GetCommandLineFlagInfoOrDie(Name.c_str()).type == "bool")
      return "true";
    if (Remaining_.empty())
      raise(UsageError("no value for --" + Name));
    return next();
  }

  void setFlag(const std::string &Name, const std::string &Value) {
    if (gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty())
      raise(UsageError("bad value for --" + Name + ": " + Value));
    Result_.Flags_.push_back(Name);
  }

  std::span<char *const> Remaining_;
  bool WordsOnly_ = false;
  CommandLine Result_;
};

} // namespace

std::span<const std::string_view> globalFlags() { return GlobalFlags; }

CommandLine parseCommandLine(std::span<char *const> Arguments) {
  return CommandLineParser(Arguments).parse();
}

std::string flagHelp(std::string_view Name) {
  std::string DisplayName(Name);
  const auto Info = gflags::GetCommandLineFlagInfoOrDie(DisplayName.c_str());
  std::ranges::replace(DisplayName, '_', '-');
  std::string Text = "  --" + DisplayName;
  Text.resize(std::max<std::size_t>(Text.size() + 1, DescriptionColumn), ' ');
  Text += Info.description;
  if (!Info.default_value.empty() && Info.type != "bool")
    Text += " (default " + Info.default_value + ")";
  return Text + "\n";
}

} // namespace heathercross::cli
