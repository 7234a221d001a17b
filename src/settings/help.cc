// Generates the documentation of the settings from the schema.
#include "settings/schema.h"

namespace heathercross::settings {

namespace {

/// Escapes the text of a Markdown table cell, because a bar would end the cell.
std::string escapeCell(const std::string &Text) {
  std::string Result;
  for (const char C : Text)
    Result += C == '|' ? std::string("\\|") : std::string(1, C);
  return Result;
}

std::string defaultText(const KeySpec &Spec) {
  if (Spec.Required_)
    return "required";
  return Spec.Default_.empty() ? "empty"
                               : "`" + std::string(Spec.Default_) + "`";
}

std::string tableRow(const KeySpec &Spec) {
  const std::string Unit = Spec.Unit_.empty() ? "-" : std::string(Spec.Unit_);
  return "| `" + std::string(Spec.Key_) + "` | " + Unit + " | " +
         defaultText(Spec) + " | " + escapeCell(allowedValues(Spec)) + " | " +
         std::string(Spec.Description_) + " |\n";
}

} // namespace

std::string settingsHelp() {
  std::string Text;
  std::string_view Section;
  for (const KeySpec &Spec : schema()) {
    if (Spec.Section_ != Section) {
      Section = Spec.Section_;
      Text += (Text.empty() ? "" : "\n") + std::string("## [") +
              std::string(Section) + "]\n\n" +
              "| key | unit | default | allowed | meaning |\n" +
              "| --- | --- | --- | --- | --- |\n";
    }
    Text += tableRow(Spec);
  }
  return Text;
}

} // namespace heathercross::settings
