// Loads and checks settings.
#include "settings/settings.h"

#include "settings/conflicts.h"
#include "settings/ini-reader.h"
#include "settings/schema.h"
#include "settings/values.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace heathercross::settings {

namespace {

constexpr std::array<std::string_view, 9> KindNames{
    "unreadable",   "malformed", "unknown-section", "unknown-key", "wrong-type",
    "out-of-range", "missing",   "conflicting",     "duplicate"};

std::string describeAll(const std::vector<Problem> &Problems) {
  std::string Text;
  for (const Problem &P : Problems)
    Text += (Text.empty() ? "" : "\n") + describe(P);
  return Text;
}

/// Checks the values of one file against the schema and stores them in
/// Settings.
class Checker {
public:
  Checker(IniFile Ini, std::string File)
      : Ini_(std::move(Ini)), FileName_(std::move(File)),
        Problems_(std::move(Ini_.Problems_)) {
    for (const IniValue &V : Ini_.Values_)
      applyValue(V);
    for (const KeySpec &Spec : schema())
      if (!Seen_.contains(&Spec))
        applyDefault(Spec);
    if (Problems_.empty())
      addConflicts();
    std::ranges::stable_sort(Problems_, {}, &Problem::Line_);
  }

  Settings result() && {
    if (!Problems_.empty())
      raise(SettingsError(std::move(Problems_)));
    return std::move(Result_);
  }

private:
  void applyValue(const IniValue &V) {
    const KeySpec *Spec = findKey(V.Section_, V.Key_);
    if (!Spec)
      return reportUnknown(V);
    Seen_.insert(Spec);
    const auto Checked = parseValue(*Spec, V.Value_);
    if (const auto *Kind = std::get_if<ProblemKind>(&Checked))
      return report(V, *Kind, V.Value_, allowedText(*Spec, *Kind));
    Spec->Assign_(Result_, std::get<Value>(Checked));
  }

  void applyDefault(const KeySpec &Spec) {
    if (!Spec.Required_)
      return Spec.Assign_(Result_, std::get<Value>(parseValue(
                                       Spec, std::string(Spec.Default_))));
    const IniValue Absent{0, std::string(Spec.Section_), std::string(Spec.Key_),
                          ""};
    report(Absent, ProblemKind::Missing, "nothing", allowedValues(Spec));
  }

  void reportUnknown(const IniValue &V) {
    if (!isSection(V.Section_))
      return report(V, ProblemKind::UnknownSection, V.Section_,
                    allowedSections());
    report(V, ProblemKind::UnknownKey, V.Key_, allowedKeys(V.Section_));
  }

  void addConflicts() {
    Problems_ = findConflicts(Result_, FileName_);
    for (Problem &P : Problems_)
      P.Line_ = lineOf(P);
  }

  std::uint32_t lineOf(const Problem &P) const {
    const auto I = std::ranges::find_if(Ini_.Values_, [&](const auto &V) {
      return V.Section_ == P.Section_ && V.Key_ == P.Key_;
    });
    return I == Ini_.Values_.end() ? 0 : I->Line_;
  }

  static std::string allowedText(const KeySpec &Spec, ProblemKind Kind) {
    const std::string Allowed = allowedValues(Spec);
    return Kind == ProblemKind::Duplicate ? Allowed + ", each once" : Allowed;
  }

  static std::string allowedSections() {
    std::string Allowed;
    for (const KeySpec &Spec : schema())
      if (!Allowed.ends_with(Spec.Section_))
        Allowed += (Allowed.empty() ? "" : " | ") + std::string(Spec.Section_);
    return Allowed;
  }

  static std::string allowedKeys(const std::string &Section) {
    std::string Allowed;
    for (const KeySpec &Spec : schema())
      if (Spec.Section_ == Section)
        Allowed += (Allowed.empty() ? "" : " | ") + std::string(Spec.Key_);
    return Allowed;
  }

  void report(const IniValue &V, ProblemKind Kind, const std::string &Found,
              const std::string &Allowed) {
    Problems_.push_back(
        {FileName_, V.Line_, V.Section_, V.Key_, Kind, Found, Allowed});
  }

  IniFile Ini_;
  std::string FileName_;
  std::vector<Problem> Problems_;
  std::set<const KeySpec *> Seen_;
  Settings Result_;
};

} // namespace

std::string_view name(ProblemKind K) {
  return KindNames[static_cast<std::size_t>(K)];
}

std::string describe(const Problem &P) {
  std::string Text = P.File_;
  if (P.Line_ != 0)
    Text += ":" + std::to_string(P.Line_);
  Text += ":";
  if (!P.Section_.empty())
    Text += " [" + P.Section_ + "]";
  if (!P.Key_.empty())
    Text += " " + P.Key_;
  return Text + " " + std::string(name(P.Kind_)) + ": found " + P.Found_ +
         "; allowed " + P.Allowed_;
}

SettingsError::SettingsError(std::vector<Problem> Problems)
    : Error(describeAll(Problems)), Problems_(std::move(Problems)) {}

Settings load(const std::string &File) {
  std::ifstream Input(File);
  std::stringstream Text;
  if (Input.peek() != EOF)
    Text << Input.rdbuf();
  if (Input.bad() || !Input.is_open())
    raise(SettingsError({{File, 0, "", "", ProblemKind::Unreadable, "no file",
                          "a readable settings file"}}));
  return parse(Text.str(), File);
}

Settings parse(const std::string &Text, const std::string &File) {
  return Checker(readIni(Text, File), File).result();
}

} // namespace heathercross::settings
