package resource

// DecodeDocument decodes and validates one document in YAML or JSON as strictly as
// Decode, but does not check references. The faults carry the document number, which
// counts from 1.
func DecodeDocument(data []byte, number int) (Resource, Faults) {
	list := &faultList{document: number}
	r, ok := decodeDocument(list, data)
	if !ok {
		return Resource{}, list.faults
	}
	validateName(list, "metadata.name", r.Metadata.Name)
	r.Spec.validate(list)
	return r, list.faults
}
