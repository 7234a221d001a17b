// The validated settings of an entry instance.
#include "entry/entry-settings.h"

#include "settings/ini-reader.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace heathercross::entry {

namespace {

using settings::Problem;
using settings::ProblemKind;

constexpr double MillisPerSecond = 1000.0;
constexpr double MaxSeconds = 86'400;
constexpr double MaxMillis = MaxSeconds * MillisPerSecond;
constexpr double MaxRate = 1e6;
constexpr double MaxCores = 1024;
constexpr double MaxMib = 1 << 20;
constexpr double BytesPerMib = 1 << 20;

/// Reads typed values from a file and collects all problems.
class SettingsReader {
public:
  SettingsReader(settings::IniFile File, std::string Name)
      : File_(std::move(File)), Name_(std::move(Name)),
        Problems_(File_.Problems_) {}

  std::string name(const char *Section, const char *Key) {
    return readValue(Section, Key, true);
  }

  Endpoint endpoint(const char *Section, const char *Key) {
    return optionalEndpoint(Section, Key, true).value_or(Endpoint());
  }

  std::optional<Endpoint> optionalEndpoint(const char *Section, const char *Key,
                                           bool Required = false) {
    const std::string Value = readValue(Section, Key, Required);
    if (Value.empty())
      return std::nullopt;
    auto E = parseEndpoint(Value);
    if (!E)
      report(Section, Key, ProblemKind::WrongType, Value, "IP:PORT");
    return E;
  }

  double number(const char *Section, const char *Key, double Min, double Max) {
    return optionalNumber(Section, Key, Min, Max, true).value_or(Min);
  }

  std::optional<double> optionalNumber(const char *Section, const char *Key,
                                       double Min, double Max,
                                       bool Required = false) {
    const std::string Value = readValue(Section, Key, Required);
    if (Value.empty())
      return std::nullopt;
    double Number = 0;
    const char *End = Value.data() + Value.size();
    const auto Parsed = std::from_chars(Value.data(), End, Number);
    if (Parsed.ec != std::errc() || Parsed.ptr != End)
      report(Section, Key, ProblemKind::WrongType, Value, "a number");
    else if (Number < Min || Number > Max)
      report(Section, Key, ProblemKind::OutOfRange, Value,
             std::to_string(Min) + " to " + std::to_string(Max));
    return Number;
  }

  bool flag(const char *Section, const char *Key) {
    const std::string Value = readValue(Section, Key, true);
    if (!Value.empty() && Value != "true" && Value != "false")
      report(Section, Key, ProblemKind::WrongType, Value, "true or false");
    return Value == "true";
  }

  Millis millis(const char *Section, const char *Key) {
    return Millis(
        static_cast<std::int64_t>(number(Section, Key, 0, MaxMillis)));
  }
  Millis seconds(const char *Section, const char *Key) {
    return Millis(static_cast<std::int64_t>(
        number(Section, Key, 0, MaxSeconds) * MillisPerSecond));
  }

  /// Reports unknown keys and throws if there are any problems.
  void finish() {
    for (const settings::IniValue &V : File_.Values_)
      if (!KnownKeys_.contains({V.Section_, V.Key_}))
        Problems_.push_back({Name_, V.Line_, V.Section_, V.Key_,
                             ProblemKind::UnknownKey, V.Value_, "a known key"});
    if (!Problems_.empty())
      raise(settings::SettingsError(Problems_));
  }

private:
  std::string readValue(const char *Section, const char *Key, bool Required) {
    KnownKeys_.emplace(Section, Key);
    const auto It =
        std::ranges::find_if(File_.Values_, [&](const settings::IniValue &V) {
          return V.Section_ == Section && V.Key_ == Key;
        });
    if (It != File_.Values_.end() && !It->Value_.empty())
      return It->Value_;
    if (Required)
      report(Section, Key, ProblemKind::Missing, "", "a value");
    return {};
  }

  void report(const char *Section, const char *Key, ProblemKind Kind,
              const std::string &Found, const std::string &Allowed) {
    Problems_.push_back({Name_, 0, Section, Key, Kind, Found, Allowed});
  }

  settings::IniFile File_;
  std::string Name_;
  std::vector<Problem> Problems_;
  std::set<std::pair<std::string, std::string>> KnownKeys_;
};

} // namespace

EntrySettings parseEntrySettings(const std::string &Text,
                                 const std::string &File) {
  SettingsReader C(settings::readIni(Text, File), File);
  EntrySettings S;
  S.Name_ = EntryId(C.name("entry", "name"));
  S.Zone_ = ZoneId(C.name("entry", "zone"));
  S.CpuShare_ = C.number("entry", "cpu_share", 0, MaxCores);
  if (const auto Mib = C.optionalNumber("entry", "memory_mib", 1, MaxMib))
    S.Memory_ = {static_cast<std::uint64_t>(*Mib * BytesPerMib)};
  S.Front_ = C.endpoint("listen", "front");
  S.Ready_ = C.endpoint("listen", "ready");
  S.Peers_ = C.endpoint("listen", "peers");
  S.Store_ = C.endpoint("store", "address");
  S.Machines_ = C.endpoint("machines", "address");
  S.OrdersPerSecond_ = C.number("machines", "orders_per_s", 0, MaxRate);
  S.Advice_ = C.optionalEndpoint("advice", "address");
  S.RunLeaseMax_ = C.millis("bounds", "run_lease_max_ms");
  S.OrderLease_ = C.millis("bounds", "order_lease_ms");
  S.OrderFencing_ = C.flag("bounds", "order_fencing")
                        ? schedule::OrderFencing::Checked
                        : schedule::OrderFencing::Unchecked;
  if (const auto Ms = C.optionalNumber("bounds", "key_trust_ms", 0, MaxMillis))
    S.KeyTrust_ = Millis(static_cast<std::int64_t>(*Ms));
  S.StatusKept_ = C.seconds("bounds", "status_kept_s");
  S.StopGrace_ = C.seconds("bounds", "stop_grace_s");
  S.Move_ = C.seconds("bounds", "move_s");
  S.Upkeep_ = C.seconds("bounds", "upkeep_s");
  C.finish();
  return S;
}

SettingsChange applyChange(EntrySettings &InForce,
                           const EntrySettings &Changed) {
  if (Changed == InForce)
    return SettingsChange::None;
  InForce.Store_ = Changed.Store_;
  InForce.Machines_ = Changed.Machines_;
  InForce.Advice_ = Changed.Advice_;
  return Changed == InForce ? SettingsChange::Addresses
                            : SettingsChange::NeedsRestart;
}

std::string readSettingsFile(const std::string &File) {
  std::ifstream In(File);
  std::ostringstream Text;
  Text << In.rdbuf();
  if (!In)
    raise(settings::SettingsError(
        {{File, 0, "", "", ProblemKind::Unreadable, "", "a readable file"}}));
  return Text.str();
}

EntrySettings loadEntrySettings(const std::string &File) {
  return parseEntrySettings(readSettingsFile(File), File);
}

} // namespace heathercross::entry
