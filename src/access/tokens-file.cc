// Parser of the tokens file, which has a line "SHA256-HEX KIND NAME" per token.
#include "access/access.h"
#include "access/secret-file.h"

#include <QByteArray>

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>
#include <variant>

namespace heathercross::access {

namespace {

constexpr std::size_t MaxNameLength = 64;

/// In the order of TokenFault.
constexpr std::array<std::string_view, 5> FaultTexts{
    "not \"SHA256-HEX KIND NAME\"", "the digest isn't 64 hex digits",
    "the kind isn't operator, team or metrics",
    "the name has other characters than letters, digits, '.', '-', '_'",
    "the digest stands on an earlier line"};

std::string describeAll(const std::string &File,
                        const std::vector<TokenProblem> &Problems) {
  std::string Text;
  for (const TokenProblem &P : Problems) {
    Text += Text.empty() ? "" : "\n";
    Text += File + ":" + std::to_string(P.LineNumber_) + ": ";
    Text += FaultTexts[static_cast<std::size_t>(P.Fault_)];
  }
  return Text;
}

std::vector<std::string> splitWords(const std::string &Line) {
  std::istringstream Stream(Line);
  return {std::istream_iterator<std::string>(Stream), {}};
}

bool isName(const std::string &Text) {
  return Text.size() <= MaxNameLength && std::ranges::all_of(Text, [](char C) {
           return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
                  (C >= '0' && C <= '9') || C == '.' || C == '-' || C == '_';
         });
}

std::optional<TokenDigest> parseDigest(const std::string &Hex) {
  TokenDigest Digest{};
  const auto Text = QByteArray::fromStdString(Hex);
  const QByteArray Bytes = QByteArray::fromHex(Text);
  if (Text.size() != 2 * static_cast<qsizetype>(Digest.size()) ||
      Bytes.toHex() != Text.toLower())
    return std::nullopt;
  std::ranges::copy(Bytes, Digest.begin());
  return Digest;
}

std::variant<TokenEntry, TokenFault> parseLine(const std::string &Line) {
  const auto Words = splitWords(Line);
  if (Words.size() != 3)
    return TokenFault::Malformed;
  const auto Digest = parseDigest(Words[0]);
  if (!Digest)
    return TokenFault::BadDigest;
  const auto Kind = parseKind(Words[1]);
  if (!Kind)
    return TokenFault::UnknownKind;
  if (!isName(Words[2]))
    return TokenFault::BadName;
  return TokenEntry{*Digest, {*Kind, Words[2]}};
}

/// Collects the entries and problems of a tokens file line by line, so that all
/// problems are reported at once.
class TokensFileParser {
public:
  /// Parses the next line; empty lines and comments are skipped.
  void addLine(const std::string &Line) {
    ++LineNumber_;
    if (splitWords(Line).empty() || Line.front() == '#')
      return;
    const auto Parsed = parseLine(Line);
    if (const auto *Fault = std::get_if<TokenFault>(&Parsed))
      return Problems_.push_back({LineNumber_, *Fault});
    const auto &Entry = std::get<TokenEntry>(Parsed);
    if (!KnownDigests_.insert(Entry.Digest_).second)
      return Problems_.push_back({LineNumber_, TokenFault::Duplicate});
    Entries_.push_back(Entry);
  }

  /// Returns the parsed tokens. Throws TokensFileError when a line was invalid.
  Authenticator result(const std::string &File) && {
    if (!Problems_.empty())
      raise(TokensFileError(File, std::move(Problems_)));
    return Authenticator(std::move(Entries_));
  }

private:
  std::uint32_t LineNumber_ = 0;
  std::vector<TokenEntry> Entries_;
  std::vector<TokenProblem> Problems_;
  std::set<TokenDigest> KnownDigests_;
};

} // namespace

TokensFileError::TokensFileError(const std::string &File,
                                 std::vector<TokenProblem> Problems)
    : Error(describeAll(File, Problems)), Problems_(std::move(Problems)) {}

Authenticator parseTokens(const std::string &Text, const std::string &File) {
  TokensFileParser Parser;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);)
    Parser.addLine(Line);
  return std::move(Parser).result(File);
}

Authenticator loadTokens(const std::string &File) {
  return parseTokens(readSecretFile(File), File);
}

std::string tokenLine(std::string_view Token, const Principal &P) {
  const TokenDigest Digest = digestOf(Token);
  const QByteArray Bytes(reinterpret_cast<const char *>(Digest.data()),
                         static_cast<qsizetype>(Digest.size()));
  return Bytes.toHex().toStdString() + " " + std::string(name(P.Kind_)) + " " +
         P.Name_;
}

} // namespace heathercross::access
