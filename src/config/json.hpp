// Reading of JSON values with errors that name the key.
#pragma once

#include <rapidjson/document.h>

#include <cmath>
#include <string>

#include "config/settings_reader.hpp"

namespace heathturn {

/// One JSON object and the path that leads to it.
class JsonObject {
 public:
  JsonObject(const rapidjson::Value& value, std::string path) : value_(value), path_(std::move(path)) {
    if (!value.IsObject()) throw maddershed::InputError(path_ + " is not an object");
  }
  [[nodiscard]] std::string path(const std::string& key) const {
    return path_.empty() ? key : path_ + "." + key;
  }
  [[nodiscard]] const rapidjson::Value* find(const char* key) const {
    const auto it = value_.FindMember(key);
    return it == value_.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
  }
  [[nodiscard]] const rapidjson::Value& need(const char* key) const {
    const auto* found = find(key);
    if (found == nullptr) throw maddershed::InputError(path(key) + " is missing");
    return *found;
  }
  [[nodiscard]] std::string text(const char* key) const { return text_of(need(key), key); }
  [[nodiscard]] std::string text(const char* key, const std::string& otherwise) const {
    const auto* found = find(key);
    return found == nullptr ? otherwise : text_of(*found, key);
  }
  [[nodiscard]] double number(const char* key, double least, double most) const {
    const auto& value = need(key);
    if (!value.IsNumber()) throw maddershed::InputError(path(key) + " is not a number");
    const double number = value.GetDouble();
    if (!(number >= least && number <= most)) throw maddershed::InputError(path(key) + " is out of range");
    return number;
  }
  [[nodiscard]] double number(const char* key, double least, double most, double otherwise) const {
    return find(key) == nullptr ? otherwise : number(key, least, most);
  }
  [[nodiscard]] const rapidjson::Value& array(const char* key) const {
    const auto& value = need(key);
    if (!value.IsArray()) throw maddershed::InputError(path(key) + " is not a list");
    return value;
  }
  [[nodiscard]] JsonObject object(const char* key) const { return {need(key), path(key)}; }
  [[nodiscard]] const rapidjson::Value& value() const { return value_; }

 private:
  [[nodiscard]] std::string text_of(const rapidjson::Value& value, const char* key) const {
    if (!value.IsString()) throw maddershed::InputError(path(key) + " is not a text");
    return {value.GetString(), value.GetStringLength()};
  }
  const rapidjson::Value& value_;
  std::string path_;
};

/// Throws InputError when the text is not JSON; `what` names the document.
inline void parse_json(rapidjson::Document& document, const std::string& text, const std::string& what) {
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) {
    throw maddershed::InputError(what + " is not JSON, at byte " + std::to_string(document.GetErrorOffset()));
  }
}

}  // namespace heathturn
