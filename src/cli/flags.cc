// The flags of the operators' tool. gflags holds them; the command line is
// split here, since gflags would end the program with its own exit code.
#include "cli/flags.h"

#include "cli/errors.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <optional>

DEFINE_string(address, "127.0.0.1:8000", "IP:PORT of an entry instance");
DEFINE_string(addresses, "", "comma list of IP:PORT of entry instances");
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

namespace heathercross::cli {

namespace {

constexpr std::array<std::string_view, 4> GlobalFlags{"address", "token_file",
                                                      "json", "timeout_ms"};
constexpr std::array<std::string_view, 11> AllFlags{
    "address", "addresses",  "token_file",     "json",
    "ticket",  "timeout_ms", "drain_limit_ms", "work_ms",
    "cores",   "memory_mb",  "state"};

std::string withUnderscores(std::string Name) {
  std::ranges::replace(Name, '-', '_');
  return Name;
}

/// Splits the arguments one after the other.
class Splitter {
public:
  explicit Splitter(std::span<char *const> Arguments) : Left_(Arguments) {}

  CommandLine split() && {
    while (!Left_.empty())
      take(next());
    return std::move(Result_);
  }

private:
  std::string next() {
    std::string First = Left_.front();
    Left_ = Left_.subspan(1);
    return First;
  }

  void take(const std::string &Argument) {
    if (Argument == "--help" || Argument == "-h")
      Result_.Help_ = true;
    else if (OnlyWords_ || !Argument.starts_with("--"))
      Result_.Words_.push_back(Argument);
    else if (Argument == "--")
      OnlyWords_ = true;
    else
      takeFlag(Argument.substr(2));
  }

  void takeFlag(const std::string &Text) {
    const auto Equals = Text.find('=');
    const std::string Name = withUnderscores(Text.substr(0, Equals));
    if (std::ranges::find(AllFlags, Name) == AllFlags.end())
      raise(UsageError("unknown flag --" + Text.substr(0, Equals)));
    set(Name, Equals == std::string::npos ? valueAfter(Name)
                                          : Text.substr(Equals + 1));
  }

  std::string valueAfter(const std::string &Name) {
    if (gflags::GetCommandLineFlagInfoOrDie(Name.c_str()).type == "bool")
      return "true";
    if (Left_.empty())
      raise(UsageError("no value for --" + Name));
    return next();
  }

  void set(const std::string &Name, const std::string &Value) {
    if (gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty())
      raise(UsageError("bad value for --" + Name + ": " + Value));
    Result_.Flags_.push_back(Name);
  }

  std::span<char *const> Left_;
  bool OnlyWords_ = false;
  CommandLine Result_;
};

} // namespace

std::span<const std::string_view> globalFlags() { return GlobalFlags; }

CommandLine parseCommandLine(std::span<char *const> Arguments) {
  return Splitter(Arguments).split();
}

std::string flagHelp(std::string_view Name) {
  std::string Shown(Name);
  const auto Info = gflags::GetCommandLineFlagInfoOrDie(Shown.c_str());
  std::ranges::replace(Shown, '_', '-');
  std::string Text = "  --" + Shown;
  Text.resize(std::max<std::size_t>(Text.size() + 1, 20), ' ');
  Text += Info.description;
  if (!Info.default_value.empty() && Info.type != "bool")
    Text += " (default " + Info.default_value + ")";
  return Text + "\n";
}

} // namespace heathercross::cli
