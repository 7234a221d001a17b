// Validated access to values in JSON documents.
#include "core/json-node.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>

namespace heathercross {

namespace {

QString toQString(std::string_view Name) {
  return QString::fromUtf8(Name.data(), static_cast<qsizetype>(Name.size()));
}

bool isNameCharacter(char C) {
  const bool Letter = (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z');
  const bool Digit = C >= '0' && C <= '9';
  return Letter || Digit || C == '.' || C == '-' || C == '_';
}

} // namespace

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::ranges::all_of(Text, isNameCharacter);
}

std::string jsonText(const QJsonObject &Object) {
  return QJsonDocument(Object).toJson(QJsonDocument::Compact).toStdString();
}

QJsonValue jsonValue(std::string_view Text) { return {toQString(Text)}; }

QJsonValue jsonValue(std::uint64_t Number) {
  return {static_cast<qint64>(Number)};
}

JsonNode JsonNode::parse(std::string_view Text, Bytes Limit) {
  const JsonNode Root(QJsonValue(), "");
  if (Text.size() > Limit.Count_)
    Root.fail("is longer than " + std::to_string(Limit.Count_) + " bytes");
  QJsonParseError ParseError;
  const auto Document = QJsonDocument::fromJson(
      QByteArray(Text.data(), static_cast<qsizetype>(Text.size())),
      &ParseError);
  if (ParseError.error != QJsonParseError::NoError)
    Root.fail(ParseError.errorString().toStdString() + " at byte " +
              std::to_string(ParseError.offset));
  if (!Document.isObject())
    Root.fail("must be an object");
  return {Document.object(), ""};
}

void JsonNode::fail(const std::string &Problem) const {
  raise(FormatError(Path_.empty() ? "text" : Path_, Problem));
}

std::string JsonNode::pathOf(std::string_view Name) const {
  return Path_.empty() ? std::string(Name) : Path_ + "." + std::string(Name);
}

QJsonObject JsonNode::object() const {
  if (!Value_.isObject())
    fail("must be an object");
  return Value_.toObject();
}

std::optional<JsonNode> JsonNode::find(std::string_view Name) const {
  const QJsonValue Found = object().value(toQString(Name));
  if (Found.isUndefined())
    return std::nullopt;
  return JsonNode(Found, pathOf(Name));
}

JsonNode JsonNode::field(std::string_view Name) const {
  auto Found = find(Name);
  if (!Found)
    JsonNode(QJsonValue(), pathOf(Name)).fail("is missing");
  return *std::move(Found);
}

std::vector<std::pair<std::string, JsonNode>>
JsonNode::fields(std::size_t MaxCount) const {
  const QJsonObject Object = object();
  if (static_cast<std::size_t>(Object.size()) > MaxCount)
    fail("has more than " + std::to_string(MaxCount) + " fields");
  std::vector<std::pair<std::string, JsonNode>> Result;
  for (auto I = Object.begin(); I != Object.end(); ++I) {
    const std::string Name = I.key().toStdString();
    Result.emplace_back(Name, JsonNode(I.value(), pathOf(Name)));
  }
  return Result;
}

void JsonNode::allowOnly(std::initializer_list<std::string_view> Names) const {
  for (const QString &Key : object().keys()) {
    const std::string Name = Key.toStdString();
    if (std::ranges::find(Names, Name) == Names.end())
      JsonNode(QJsonValue(), pathOf(Name)).fail("unknown field");
  }
}

std::vector<JsonNode> JsonNode::items(std::size_t MaxCount) const {
  if (!Value_.isArray())
    fail("must be an array");
  const QJsonArray Array = Value_.toArray();
  if (static_cast<std::size_t>(Array.size()) > MaxCount)
    fail("has more than " + std::to_string(MaxCount) + " elements");
  std::vector<JsonNode> Result;
  for (const QJsonValue Item : Array)
    Result.emplace_back(Item,
                        Path_ + "[" + std::to_string(Result.size()) + "]");
  return Result;
}

std::string JsonNode::text(std::size_t MaxLength) const {
  if (!Value_.isString())
    fail("must be a text string");
  std::string Text = Value_.toString().toStdString();
  if (Text.size() > MaxLength)
    fail("is longer than " + std::to_string(MaxLength) + " bytes");
  return Text;
}

std::string JsonNode::name() const {
  std::string Text = text(MaxNameLength);
  if (!isName(Text))
    fail("must be a name of letters, digits, '.', '-' and '_'");
  return Text;
}

std::string JsonNode::nameOrEmpty() const {
  return text(MaxNameLength).empty() ? std::string() : name();
}

std::uint64_t JsonNode::number(std::uint64_t Min, std::uint64_t Max) const {
  const qint64 Number = Value_.isDouble() ? Value_.toInteger(-1) : -1;
  if (Number < 0 || static_cast<std::uint64_t>(Number) < Min ||
      static_cast<std::uint64_t>(Number) > Max)
    fail("must be a whole number from " + std::to_string(Min) + " to " +
         std::to_string(Max));
  return static_cast<std::uint64_t>(Number);
}

bool JsonNode::boolean() const {
  if (!Value_.isBool())
    fail("must be true or false");
  return Value_.toBool();
}

} // namespace heathercross
