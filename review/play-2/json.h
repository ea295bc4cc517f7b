// A small JSON value: parser and writer for the stand-ins of the second review.
#pragma once
#include <cctype>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace play {

struct Json {
  enum class Kind { kNull, kBool, kNumber, kText, kList, kObject };
  Kind m_kind = Kind::kNull;
  bool m_bool = false;
  double m_number = 0.0;
  std::int64_t m_integer = 0;
  bool m_is_integer = false;
  std::string m_text;
  std::vector<Json> m_list;
  std::vector<std::pair<std::string, Json>> m_fields;

  Json() = default;
  Json(bool v) : m_kind(Kind::kBool), m_bool(v) {}
  Json(std::int64_t v)
      : m_kind(Kind::kNumber), m_number(static_cast<double>(v)), m_integer(v), m_is_integer(true) {}
  Json(int v) : Json(static_cast<std::int64_t>(v)) {}
  Json(std::uint64_t v) : Json(static_cast<std::int64_t>(v)) {}
  Json(double v) : m_kind(Kind::kNumber), m_number(v) {}
  Json(const std::string& v) : m_kind(Kind::kText), m_text(v) {}
  Json(const char* v) : m_kind(Kind::kText), m_text(v) {}
  static Json List() {
    Json j;
    j.m_kind = Kind::kList;
    return j;
  }
  static Json Object() {
    Json j;
    j.m_kind = Kind::kObject;
    return j;
  }
  Json& Set(const std::string& name, Json value) {
    for (auto& field : m_fields) {
      if (field.first == name) {
        field.second = std::move(value);
        return *this;
      }
    }
    m_kind = Kind::kObject;
    m_fields.emplace_back(name, std::move(value));
    return *this;
  }
  Json& Add(Json value) {
    m_kind = Kind::kList;
    m_list.push_back(std::move(value));
    return *this;
  }
  const Json* Find(const std::string& name) const {
    for (const auto& field : m_fields) {
      if (field.first == name) return &field.second;
    }
    return nullptr;
  }
  std::string Text(const std::string& name) const {
    const Json* const f = Find(name);
    return f != nullptr ? f->m_text : std::string{};
  }
  std::int64_t Int(const std::string& name, std::int64_t otherwise = 0) const {
    const Json* const f = Find(name);
    if (f == nullptr || f->m_kind != Kind::kNumber) return otherwise;
    return f->m_is_integer ? f->m_integer : static_cast<std::int64_t>(f->m_number);
  }
  std::string Write() const {
    switch (m_kind) {
      case Kind::kNull:
        return "null";
      case Kind::kBool:
        return m_bool ? "true" : "false";
      case Kind::kNumber: {
        if (m_is_integer) return std::to_string(m_integer);
        char buffer[40];
        std::snprintf(buffer, sizeof(buffer), "%.17g", m_number);
        return buffer;
      }
      case Kind::kText:
        return Quote(m_text);
      case Kind::kList: {
        std::string out = "[";
        for (std::size_t i = 0; i < m_list.size(); ++i) {
          if (i > 0) out += ',';
          out += m_list[i].Write();
        }
        return out + "]";
      }
      case Kind::kObject: {
        std::string out = "{";
        for (std::size_t i = 0; i < m_fields.size(); ++i) {
          if (i > 0) out += ',';
          out += Quote(m_fields[i].first) + ":" + m_fields[i].second.Write();
        }
        return out + "}";
      }
    }
    return "null";
  }
  static std::string Quote(const std::string& text) {
    std::string out = "\"";
    for (const char c : text) {
      const auto u = static_cast<unsigned char>(c);
      if (c == '"' || c == '\\') {
        out += '\\';
        out += c;
      } else if (u < 0x20) {
        char buffer[8];
        std::snprintf(buffer, sizeof(buffer), "\\u%04x", u);
        out += buffer;
      } else {
        out += c;
      }
    }
    return out + "\"";
  }
  static Json Parse(const std::string& text) {
    std::size_t at = 0;
    Json value = ParseAt(text, at);
    Skip(text, at);
    if (at != text.size()) throw std::runtime_error("text after a JSON value");
    return value;
  }

 private:
  static void Skip(const std::string& s, std::size_t& at) {
    while (at < s.size() && std::isspace(static_cast<unsigned char>(s[at])) != 0) ++at;
  }
  static std::string ParseText(const std::string& s, std::size_t& at) {
    std::string out;
    ++at;
    while (at < s.size() && s[at] != '"') {
      if (s[at] != '\\') {
        out += s[at++];
        continue;
      }
      ++at;
      const char c = s.at(at++);
      if (c == 'n') {
        out += '\n';
      } else if (c == 't') {
        out += '\t';
      } else if (c == 'r') {
        out += '\r';
      } else if (c == 'b') {
        out += '\b';
      } else if (c == 'f') {
        out += '\f';
      } else if (c == 'u') {
        const auto code = std::strtoul(s.substr(at, 4).c_str(), nullptr, 16);
        at += 4;
        if (code < 0x80) {
          out += static_cast<char>(code);
        } else if (code < 0x800) {
          out += static_cast<char>(0xC0 | (code >> 6U));
          out += static_cast<char>(0x80 | (code & 0x3FU));
        } else {
          out += static_cast<char>(0xE0 | (code >> 12U));
          out += static_cast<char>(0x80 | ((code >> 6U) & 0x3FU));
          out += static_cast<char>(0x80 | (code & 0x3FU));
        }
      } else {
        out += c;
      }
    }
    if (at >= s.size()) throw std::runtime_error("JSON text is not closed");
    ++at;
    return out;
  }
  static Json ParseAt(const std::string& s, std::size_t& at) {
    Skip(s, at);
    if (at >= s.size()) throw std::runtime_error("no JSON value");
    const char c = s[at];
    if (c == '"') return Json(ParseText(s, at));
    if (c == '{') {
      Json value = Object();
      ++at;
      Skip(s, at);
      while (s.at(at) != '}') {
        Skip(s, at);
        std::string name = ParseText(s, at);
        Skip(s, at);
        if (s.at(at++) != ':') throw std::runtime_error("JSON object without a colon");
        value.m_fields.emplace_back(std::move(name), ParseAt(s, at));
        Skip(s, at);
        if (s.at(at) == ',') ++at;
        Skip(s, at);
      }
      ++at;
      return value;
    }
    if (c == '[') {
      Json value = List();
      ++at;
      Skip(s, at);
      while (s.at(at) != ']') {
        value.m_list.push_back(ParseAt(s, at));
        Skip(s, at);
        if (s.at(at) == ',') ++at;
        Skip(s, at);
      }
      ++at;
      return value;
    }
    if (s.compare(at, 4, "true") == 0) {
      at += 4;
      return Json(true);
    }
    if (s.compare(at, 5, "false") == 0) {
      at += 5;
      return Json(false);
    }
    if (s.compare(at, 4, "null") == 0) {
      at += 4;
      return Json();
    }
    std::size_t end = at;
    bool integer = true;
    while (end < s.size() && (std::isdigit(static_cast<unsigned char>(s[end])) != 0 ||
                              std::string("+-.eE").find(s[end]) != std::string::npos)) {
      if (s[end] == '.' || s[end] == 'e' || s[end] == 'E') integer = false;
      ++end;
    }
    if (end == at) throw std::runtime_error("not a JSON value");
    const std::string number = s.substr(at, end - at);
    at = end;
    if (integer) return Json(static_cast<std::int64_t>(std::strtoll(number.c_str(), nullptr, 10)));
    return Json(std::strtod(number.c_str(), nullptr));
  }
};

}  // namespace play
